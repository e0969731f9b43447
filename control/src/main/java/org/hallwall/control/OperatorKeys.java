/*
 * Licensed to the hallwall project under one or more contributor
 * license agreements.  See the NOTICE file distributed with
 * this work for additional information regarding copyright
 * ownership.  The hallwall project licenses this file to You
 * under the Apache License, Version 2.0 (the "License"); you may
 * not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *   https://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing,
 * software distributed under the License is distributed on an
 * "AS IS" BASIS, WITHOUT WARRANTIES OR CONDITIONS OF ANY
 * KIND, either express or implied.  See the License for the
 * specific language governing permissions and limitations
 * under the License.
 */
package org.hallwall.control;

import java.util.List;

import org.hallwall.core.settings.KeyHash;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;

/** Checks the keys of operators. */
final class OperatorKeys {

    private static final String BEARER = "Bearer ";

    private final List<String> hashes;

    OperatorKeys(List<String> hashes) {
        this.hashes = hashes;
    }

    void check(String authorization) throws RefusalException {
        if (hashes.isEmpty()) {
            return;
        }
        if (authorization == null
                || !authorization.startsWith(BEARER)
                || !hashes.contains(KeyHash.of(authorization.substring(BEARER.length())))) {
            throw new RefusalException(ProblemType.UNAUTHORIZED, "an operator's key is needed");
        }
    }
}
