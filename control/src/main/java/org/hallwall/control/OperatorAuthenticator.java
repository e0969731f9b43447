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

/** Authenticates operators by the hash of their key. */
final class OperatorAuthenticator {

    private static final String BEARER_PREFIX = "Bearer ";

    private final List<String> keyHashes;

    OperatorAuthenticator(List<String> hashes) {
        this.keyHashes = hashes;
    }

    void authenticate(String authorization) throws RefusalException {
        if (keyHashes.isEmpty()) {
            return;
        }
        if (authorization == null
                || !authorization.startsWith(BEARER_PREFIX)
                || !keyHashes.contains(KeyHash.of(authorization.substring(BEARER_PREFIX.length())))) {
            throw new RefusalException(ProblemType.UNAUTHORIZED, "a valid operator key is required");
        }
    }
}
