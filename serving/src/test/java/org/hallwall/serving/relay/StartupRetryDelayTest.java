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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients that reach an entry before its first configuration retry only once. */
class StartupRetryDelayTest {

    private long now = 1_000;

    /** Guards against retries before the control instances are up, 1.7 to 1.9 s after the entries. */
    @ParameterizedTest
    @CsvSource({"0, 0, 1900", "0, 1, 2900", "1000, 0, 1900", "1800, 0, 2100", "1800, 1, 3100", "9000, 0, 9300"})
    void retriesArriveAfterTheUsualStartupTime(long arrivalMillis, double random, long retryMillis) {
        StartupRetryDelay delay = new StartupRetryDelay(() -> now, () -> random);
        now += arrivalMillis;
        Assertions.assertEquals(retryMillis, arrivalMillis + delay.retryAfterMillis());
    }
}
