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
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two sides of a partition that each share the whole budget, because all programs have restarted meanwhile. */
class RetryBudgetPartitionSimulationTest {

    private static final int REQUESTS_PER_SECOND = 40;
    private static final int SEEDS = 5;

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 82})
    void retriesOfBothSidesStayWithinTheBoundAfterRestarts(int entries) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedEntries s = new SimulatedEntries(entries, REQUESTS_PER_SECOND, seed);
            s.run(15_000, false);
            s.run(12_000, true);
            s.setPartitioned(true);
            s.restart(1);
            s.restartControl();
            s.run(30_000, true);
            s.setPartitioned(false);
            s.run(15_000, true);
            s.assertWithinTheBound("seed " + seed);
        }
    }

    /** Guards against entries that join during a partition and use the shares of those on its other side. */
    @ParameterizedTest
    @CsvSource({"3, 1", "9, 1", "9, 3", "82, 9"})
    void retriesOfEntriesThatJoinDuringAPartitionStayWithinTheBound(int entries, int joining) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedEntries s = new SimulatedEntries(entries, REQUESTS_PER_SECOND, seed);
            s.run(15_000, false);
            s.run(12_000, true);
            s.setPartitioned(true);
            s.run(5_000, true);
            s.join(joining);
            s.run(30_000, true);
            s.setPartitioned(false);
            s.run(15_000, true);
            s.assertWithinTheBound("seed " + seed);
        }
    }
}
