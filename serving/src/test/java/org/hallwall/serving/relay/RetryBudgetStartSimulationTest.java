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

/** Guards against entries that spend the shares of others which have not started yet, or spend their own again after a restart. */
class RetryBudgetStartSimulationTest {

    private static final int REQUESTS_PER_SECOND = 40;
    private static final int SEEDS = 5;

    @ParameterizedTest
    @CsvSource({"3, 1000", "9, 100", "9, 1000", "9, 3000", "82, 100", "82, 1000", "350, 100"})
    void retriesOfEntriesThatStartOneByOneStayWithinTheBound(int entries, long intervalMillis) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedEntries s = new SimulatedEntries(entries, REQUESTS_PER_SECOND, seed, intervalMillis);
            s.run(entries * intervalMillis + 20_000, true);
            s.assertWithinTheBound("seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 82})
    void retriesOfProgramsThatAllStartAgainStayWithinTheBound(int entries) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedEntries s = new SimulatedEntries(entries, REQUESTS_PER_SECOND, seed);
            s.run(15_000, false);
            s.run(12_000, true);
            s.restart(1);
            s.restartControl();
            s.run(30_000, true);
            s.assertWithinTheBound("seed " + seed);
        }
    }
}
