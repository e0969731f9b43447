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

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries that entries forget when they restart while targets are stopped, and a first start during a partition. */
class RetryBudgetMixedSequenceTest {

    private static final SimulatedSequence RESTARTS_AND_STOPS = new SimulatedSequence(List.of(
            SimulatedEvent.RESTART_ENTRIES,
            SimulatedEvent.RESTART_CONTROL,
            SimulatedEvent.RESTART_ALL,
            SimulatedEvent.PARTITION,
            SimulatedEvent.HEAL,
            SimulatedEvent.STOP_TARGETS,
            SimulatedEvent.SHIFT_CALLERS,
            SimulatedEvent.CROWD));

    private static final SimulatedSequence ALL = new SimulatedSequence(List.of(SimulatedEvent.values()));

    @ParameterizedTest
    @CsvSource({"3, 1, 400", "9, 1001, 500", "30, 2001, 80", "82, 3001, 16", "350, 4001, 4"})
    void retriesStayWithinTheBound(int entries, long firstSeed, int seeds) {
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            RESTARTS_AND_STOPS.play(entries, seed, false);
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 10001, 400", "9, 11001, 500", "30, 12001, 80", "82, 13001, 16", "350, 14001, 4"})
    void retriesStayWithinTheBoundBesideRefusingTargets(int entries, long firstSeed, int seeds) {
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            ALL.play(entries, seed, false);
        }
    }
}
