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

/** After a loss of all power callers come to entries before these know a configuration, and come back only once. */
class FirstConfigurationTest {

    private long now = 1_000;

    /** Control instances answer 1.7 to 1.9 s after entries listen; who came at any time before is back after that, not at once. */
    @ParameterizedTest
    @CsvSource({"0, 0, 1900", "0, 1, 2900", "1000, 0, 1900", "1800, 0, 2100", "1800, 1, 3100", "9000, 0, 9300"})
    void callersAreBackWhenAConfigurationIsUsuallyKnown(long cameAfter, double drawn, long backAfter) {
        FirstConfiguration first = new FirstConfiguration(() -> now, () -> drawn);
        now += cameAfter;
        Assertions.assertEquals(backAfter, cameAfter + first.retryAfterMillis());
    }
}
