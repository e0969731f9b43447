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
package org.hallwall.core.verdict;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class VerdictTest {

    @ParameterizedTest
    @CsvSource({
        "NOT_RUN, false, true",
        "NOT_RUN, true, true",
        "MAY_HAVE_RUN, false, false",
        "MAY_HAVE_RUN, true, true",
        "RAN, false, false",
        "RAN, true, false"
    })
    void allowsRetryOnlyIfSafe(Verdict verdict, boolean idempotent, boolean allowed) {
        assertEquals(allowed, verdict.allowsRetry(idempotent));
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_RUN, NOT_RUN, NOT_RUN",
        "NOT_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
        "MAY_HAVE_RUN, NOT_RUN, MAY_HAVE_RUN",
        "RAN, MAY_HAVE_RUN, RAN"
    })
    void combinedVerdictAllowsFewestRetries(Verdict a, Verdict b, Verdict combined) {
        assertEquals(combined, a.combineWith(b));
    }
}
