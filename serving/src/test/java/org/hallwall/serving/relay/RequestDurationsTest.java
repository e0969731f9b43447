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
package org.hallwall.serving.relay;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against expected durations that hide slow requests, or that single slow requests decide. */
class RequestDurationsTest {

    private static final long USUAL = 100;
    private static final long SLOW = 5_000;

    private final RequestDurations durations = new RequestDurations();

    private void record(int count, long millis) {
        for (int i = 0; i < count; i++) {
            durations.record(millis);
        }
    }

    @Test
    void fewRequestsGiveNoExpectation() {
        record(7, USUAL);
        Assertions.assertEquals(Long.MAX_VALUE, durations.expectedMillis());
        record(1, USUAL);
        Assertions.assertEquals(USUAL, durations.expectedMillis());
    }

    @ParameterizedTest
    @CsvSource({"8, 1, 5000", "31, 1, 100", "30, 2, 5000", "0, 32, 5000"})
    void nearlyAllRequestsTakeAtMostTheExpectedTime(int usual, int slow, long expected) {
        record(slow, SLOW);
        record(usual, USUAL);
        Assertions.assertEquals(expected, durations.expectedMillis());
    }

    @ParameterizedTest
    @CsvSource({"32, 100", "31, 100", "30, 5000", "320, 100"})
    void onlyTheLatestRequestsCount(int latest, long expected) {
        record(100, SLOW);
        record(latest, USUAL);
        Assertions.assertEquals(expected, durations.expectedMillis());
    }
}
