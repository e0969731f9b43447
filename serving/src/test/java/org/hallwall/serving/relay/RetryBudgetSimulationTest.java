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
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The retries of all entries stay within the bound of each service in every window. Guards against shares that are
 * spent twice, after a restart or on both sides of a partition.
 */
class RetryBudgetSimulationTest {

    private static final Map<String, Consumer<SimulatedEntries>> EVENTS = Map.of(
            "calm", s -> {},
            "shift", SimulatedEntries::shiftCallers,
            "crowd", s -> s.setIdleLoadFactor(5),
            "rolling", s -> s.restart(0.2),
            "herd", s -> s.restart(0.7),
            "all-power",
                    s -> {
                        s.restart(1);
                        s.restartControl();
                    },
            "control", SimulatedEntries::restartControl,
            "cut", s -> s.setPartitioned(true),
            "come", s -> s.join(2),
            "go", s -> s.leave(2));

    @ParameterizedTest
    @CsvSource({
        "8, 150, calm",
        "8, 150, shift",
        "8, 150, crowd",
        "8, 150, rolling",
        "8, 150, herd",
        "8, 150, all-power",
        "8, 150, control",
        "8, 150, cut",
        "8, 150, come",
        "8, 150, go",
        "82, 900, rolling",
        "82, 900, herd",
        "82, 900, cut",
        "82, 900, all-power"
    })
    void retriesStayWithinTheBound(int entries, double requestsPerSecond, String event) {
        for (long seed = 1; seed <= 5; seed++) {
            simulate(entries, requestsPerSecond, event, seed).assertWithinTheBound(event + ", seed " + seed);
        }
    }

    /**
     * Checks the figures published in docs/CAPACITY.md: use of the allowed retries in the worst window and on average.
     */
    @Test
    void figuresAreThePublishedOnes() {
        StringBuilder out =
                new StringBuilder("entries, requests a second, event: worst window, used; busy then idle service\n");
        for (int entries : new int[] {9, 82, 350}) {
            double requestsPerSecond = entries * 12.0;
            boolean large = entries > 100;
            for (String event :
                    large ? List.of("all-power", "calm", "cut") : List.copyOf(new TreeSet<>(EVENTS.keySet()))) {
                SimulatedEntries s = simulate(entries, requestsPerSecond, event, 1);
                out.append(String.format(
                        Locale.ROOT,
                        "%d, %.0f, %s: %.2f %.2f, %.2f %.2f\n",
                        entries,
                        requestsPerSecond,
                        event,
                        s.worstWindowUse(SimulatedEntries.BUSY),
                        s.averageUse(SimulatedEntries.BUSY),
                        s.worstWindowUse(SimulatedEntries.IDLE),
                        s.averageUse(SimulatedEntries.IDLE)));
            }
        }
        Approvals.verify(out.toString());
    }

    private static SimulatedEntries simulate(int entries, double requestsPerSecond, String event, long seed) {
        SimulatedEntries s = new SimulatedEntries(entries, requestsPerSecond, seed);
        s.run(15_000, false);
        s.run(12_000, true);
        for (int i = 0; i < 4; i++) {
            EVENTS.get(event).accept(s);
            s.run(2_500, true);
        }
        s.setPartitioned(false);
        s.run(10_000, true);
        return s;
    }
}
