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
package org.hallwall.serving.permit;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Precedence of statements in reordered responses. Limits of zero or less stand for none. */
class LimitStatementTest {

    private static LimitStatement statement(double perSecond, long requestedAt, long receivedAt) {
        return new LimitStatement(perSecond <= 0 ? null : new RateLimit(perSecond), requestedAt, receivedAt);
    }

    @ParameterizedTest
    @CsvSource({
        // a stricter limit that was received later, whenever its request was sent
        "5, 100, 200, 2, 50, 201, true",
        "0, 100, 200, 2, 50, 201, true",
        // a less strict limit only if its request was sent after the stricter one was received
        "2, 100, 200, 5, 150, 300, false",
        "2, 100, 200, 5, 200, 300, true",
        "2, 100, 200, 0, 199, 300, false",
        "2, 100, 200, 0, 200, 300, true",
        // an equal limit that was received later
        "2, 100, 200, 2, 90, 250, true",
    })
    void laterOrStricterStatementReplaces(
            double known,
            long knownRequestedAt,
            long knownReceivedAt,
            double next,
            long requestedAt,
            long receivedAt,
            boolean replaces) {
        Assertions.assertEquals(
                replaces,
                statement(next, requestedAt, receivedAt).replaces(statement(known, knownRequestedAt, knownReceivedAt)));
    }

    @ParameterizedTest
    @CsvSource({"2, true", "0, false"})
    void firstStatementNeedsALimit(double perSecond, boolean replaces) {
        Assertions.assertEquals(replaces, statement(perSecond, 1, 2).replaces(null));
    }
}
