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

/**
 * Guards against runs and retries beyond their bounds when many entries forward requests to each other while runs fail and links between
 * entries are lost, and against refusing requests whose runs are not used up.
 */
class ForwardSimulationTest {

    private static final int SEEDS = 3;
    /** Requests at partitioned entries are served this often compared to others. */
    private static final double MIN_SERVED_RATIO = 0.95;

    @ParameterizedTest
    @CsvSource({
        "9, 0.1, 0.14, 0, true",
        "9, 0.9, 0, 0, false",
        "9, 0.9, 0.14, 0, true",
        "9, 0.9, 0.5, 0.3, false",
        "9, 0.5, 0.5, 0.3, true",
        "82, 0.5, 0.14, 0.3, false",
        "82, 0.9, 0.14, 0, true"
    })
    void boundsHoldOverAllEntries(
            int entries, double cutShare, double errorRate, double lostEntryLinks, boolean refused) {
        SimulatedForwards.Faults faults = new SimulatedForwards.Faults(cutShare, errorRate, lostEntryLinks, refused);
        for (long seed = 1; seed <= SEEDS; seed++) {
            play(seed, entries, faults);
        }
    }

    /** The simulation shows the fault that it guards against. */
    @Test
    void runsThatAreNotReportedExceedTheBound() {
        SimulatedForwards.Faults faults = new SimulatedForwards.Faults(0.5, 0.5, 0, true);
        SimulatedForwards s = new SimulatedForwards(1, 9, faults, SimulatedForwards.Lending.UNREPORTED).run();
        Assertions.assertTrue(s.mostRuns() > 1, s::describe);
    }

    /** Plays one seed, checks the bounds, and returns its figures. */
    static String play(long seed, int entries, SimulatedForwards.Faults faults) {
        SimulatedForwards s = new SimulatedForwards(seed, entries, faults, SimulatedForwards.Lending.ONE_RUN).run();
        String figures = "seed " + seed + ": " + s.describe();
        Assertions.assertTrue(s.mostRuns() <= 1, figures);
        Assertions.assertTrue(s.worstRetryWindow() <= 1, figures);
        if (faults.lostEntryLinks() == 0) {
            Assertions.assertTrue(s.servedShare(true) >= MIN_SERVED_RATIO * s.servedShare(false), figures);
        }
        return figures;
    }
}
