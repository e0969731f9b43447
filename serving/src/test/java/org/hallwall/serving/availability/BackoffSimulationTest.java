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
package org.hallwall.serving.availability;

import org.hallwall.serving.availability.SimulatedBackoffs.Fault;
import org.hallwall.serving.availability.SimulatedBackoffs.Policy;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates a fleet in which targets reject requests and back off: no request is sent during a backoff, and requests succeed while healthy
 * targets have free slots.
 */
class BackoffSimulationTest {

    /** The maximum fraction of failed requests while half of the targets are healthy. */
    private static final double MAX_FAILED = 0.0001;

    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4", "5"})
    void healthyTargetsServeWhileOthersBackOff(long seed) {
        SimulatedBackoffs s = new SimulatedBackoffs(9, 12, 0.45, Policy.OBEYED, Fault.HALF_UNWELL, seed).run();
        Assertions.assertEquals(0, s.sentDuringBackoff());
        double failed = 1 - (double) s.served() / s.requests();
        Assertions.assertTrue(failed <= MAX_FAILED, () -> failed + " of all requests failed");
    }

    @ParameterizedTest
    @CsvSource({"ALL_UNWELL, 0.45", "ALL_UNWELL, 0.8", "HALF_UNWELL, 0.8", "CROWD, 0.8"})
    void noRequestIsSentDuringBackoff(Fault fault, double load) {
        SimulatedBackoffs s = new SimulatedBackoffs(9, 12, load, Policy.OBEYED, fault, 1).run();
        Assertions.assertTrue(s.rejected() > 0);
        Assertions.assertEquals(0, s.sentDuringBackoff());
    }
}
