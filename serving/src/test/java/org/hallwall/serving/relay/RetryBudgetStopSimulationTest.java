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

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries of several windows that arrive in one, because targets were stopped and read them when they continue. */
class RetryBudgetStopSimulationTest {

    private static final int SEEDS = 5;
    /** Multiplies one request a second. */
    private static final int CROWD_FACTOR = 300;

    @ParameterizedTest
    @CsvSource({
        "9, 40, 2, 5000",
        "9, 40, 2, 10000",
        "9, 40, 2, 25000",
        "9, 40, 5, 1000",
        "9, 40, 5, 5000",
        "9, 300, 3, 5000",
        "9, 300, 3, 12000",
        "9, 60, 3, 35000",
        "9, 60, 2, 60000",
        "9, 60, 2, 95000",
        "9, 300, 3, 200000",
        "82, 300, 3, 45000",
        "82, 300, 3, 10000"
    })
    void retriesStayWithinTheBound(int entries, int requestsPerSecond, int stopped, long millis) {
        play(entries, requestsPerSecond, stopped, 0, millis);
    }

    /** Guards against retries that go from targets that refuse connections to stopped ones without a charge. */
    @ParameterizedTest
    @CsvSource({"9, 40, 2, 2, 5000", "9, 40, 2, 3, 12000", "9, 300, 3, 2, 25000", "82, 300, 3, 2, 10000"})
    void retriesBesideRefusingTargetsStayWithinTheBound(
            int entries, int requestsPerSecond, int stopped, int ended, long millis) {
        play(entries, requestsPerSecond, stopped, ended, millis);
    }

    /** Guards against retries that a crowd has paid for and that arrive when it has gone, at targets that continue then. */
    @ParameterizedTest
    @CsvSource({
        "3, 3, 12000, 16000",
        "9, 3, 12000, 16000",
        "9, 5, 3000, 100000",
        "30, 2, 12000, 200000",
        "82, 3, 12000, 16000"
    })
    void retriesOfAnEndedCrowdStayWithinTheBound(int entries, int stopped, long crowdMillis, long stopMillis) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedEntries s = new SimulatedEntries(entries, 10, seed);
            s.run(15_000, true);
            s.stopTargets(stopped, crowdMillis + stopMillis);
            s.setIdleLoadFactor(CROWD_FACTOR);
            s.run(crowdMillis, true);
            s.setIdleLoadFactor(1);
            s.run(stopMillis + 25_000, true);
            s.assertWithinTheBound("seed " + seed);
        }
    }

    /** Guards against retries that the earlier processes of entries have left, and that are forgotten before they arrive. */
    @ParameterizedTest
    @CsvSource({"9, 40, 3, 95000", "9, 300, 3, 200000", "30, 60, 2, 400000", "82, 300, 3, 120000"})
    void retriesOfEarlierProcessesStayWithinTheBound(int entries, int requestsPerSecond, int stopped, long millis) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedEntries s = new SimulatedEntries(entries, requestsPerSecond, seed);
            s.run(15_000, true);
            s.stopTargets(stopped, millis);
            s.run(10_000, true);
            s.restart(1);
            s.run(millis + 15_000, true);
            s.assertWithinTheBound("seed " + seed);
        }
    }

    private static void play(int entries, int requestsPerSecond, int stopped, int ended, long millis) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedEntries s = new SimulatedEntries(entries, requestsPerSecond, seed);
            s.run(15_000, false);
            s.run(12_000, true);
            s.stopTargets(stopped, millis);
            s.endTargets(ended, millis);
            s.run(millis + 25_000, true);
            s.assertWithinTheBound("seed " + seed);
        }
    }
}
