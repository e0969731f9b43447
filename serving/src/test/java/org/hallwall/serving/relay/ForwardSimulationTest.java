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

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against runs and retries beyond their bounds when many entries forward requests to each other while runs fail and links between
 * entries are lost, and against refusing requests whose runs are not used up.
 */
class ForwardSimulationTest {

    /** Requests during the cut in all seeds of a case; the served shares of fewer differ by chance. */
    private static final int REQUESTS_PER_CASE = 24_000;

    private static final int REQUESTS_PER_ENTRY = 90;
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
        List<SimulatedForwards.Result> atCutEntries = new ArrayList<>();
        List<SimulatedForwards.Result> atOthers = new ArrayList<>();
        for (long seed = 1; seed <= REQUESTS_PER_CASE / (REQUESTS_PER_ENTRY * entries); seed++) {
            SimulatedForwards s = play(seed, entries, faults);
            atCutEntries.addAll(s.resultsDuringCut(true));
            atOthers.addAll(s.resultsDuringCut(false));
        }
        if (faults.lostEntryLinks() == 0) {
            String figures = String.format("%s: served %s, others %s", faults, served(atCutEntries), served(atOthers));
            Assertions.assertTrue(served(atCutEntries) >= MIN_SERVED_RATIO * served(atOthers), figures);
        }
    }

    private static double served(List<SimulatedForwards.Result> results) {
        return results.stream().filter(SimulatedForwards.Result::served).count() / (double) results.size();
    }

    /** The simulation shows the fault that it guards against. */
    @Test
    void runsThatAreNotReportedExceedTheBound() {
        SimulatedForwards.Faults faults = new SimulatedForwards.Faults(0.5, 0.5, 0, true);
        SimulatedForwards s = new SimulatedForwards(1, 9, faults, SimulatedForwards.Lending.UNREPORTED).run();
        Assertions.assertTrue(s.mostRuns() > 1, s::describe);
    }

    /** Plays one seed and checks the bounds. */
    private static SimulatedForwards play(long seed, int entries, SimulatedForwards.Faults faults) {
        SimulatedForwards s = new SimulatedForwards(seed, entries, faults, SimulatedForwards.Lending.ONE_RUN).run();
        String figures = "seed " + seed + ": " + s.describe();
        Assertions.assertTrue(s.mostRuns() <= 1, figures);
        Assertions.assertTrue(s.worstRetryWindow() <= 1, figures);
        Assertions.assertEquals(0, s.openRetries(), figures);
        return s;
    }
}
