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
package org.hallwall.serving.permit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares strategies of dividing a limit, and runs many seeded fault schedules; started manually: {@code mvn -pl serving -am test
 * -Dtest=PermitSimulationRuns -Dsurefire.failIfNoSpecifiedTests=false -Dpermits.seeds=1000}.
 */
class PermitSimulationRuns {

    /** A strong reference, since the level of a collected logger is lost. */
    private static final Logger LOGGER = Logger.getLogger("org.hallwall");

    private static final long END_MILLIS = 40_000;
    private static final long SHIFT_MILLIS = 20_000;
    private static final double PER_ENTRY = 12;
    private static final int TARGETS = 12;
    /** The bytes of a call and of one target in it, in both directions. */
    private static final int CALL_BYTES = 60;

    private static final int ASK_BYTES = 150;

    @BeforeEach
    void disableLogging() {
        LOGGER.setLevel(Level.SEVERE);
    }

    @Test
    void faults() {
        List<Double> counted = new ArrayList<>();
        List<Double> includingFaults = new ArrayList<>();
        for (long seed = 1; seed <= Integer.getInteger("permits.seeds", 100); seed++) {
            counted.add(PermitSimulationTest.maxRatio(seed, true));
            includingFaults.add(PermitSimulationTest.maxRatio(seed, false));
        }
        System.out.printf(
                Locale.ROOT,
                "%d seeds: highest ratio to the allowed requests %.3f, %.3f including arrivals during faults; %d and %d seeds above 1%n",
                counted.size(),
                Collections.max(counted),
                Collections.max(includingFaults),
                counted.stream().filter(d -> d > 1).count(),
                includingFaults.stream().filter(d -> d > 1).count());
    }

    /** All targets declare a limit; half-way the load moves from the first half of the entries to the second. */
    @ParameterizedTest
    @CsvSource({"9, 0.3", "9, 2", "9, 5", "82, 0.3", "82, 2", "82, 50", "350, 0.3", "350, 2", "350, 50"})
    void strategies(int entries, double limit) {
        runStrategy("LEASED_PERMITS", entries, limit, null);
        for (ShareLimiter.Strategy strategy : ShareLimiter.Strategy.values()) {
            Map<InstanceId, double[]> demand = new HashMap<>();
            runStrategy(strategy.name(), entries, limit, (s, e) -> {
                int index = s.entries().size();
                return new ShareLimiter(s, strategy, entries, index, demand);
            });
        }
    }

    private void runStrategy(
            String name,
            int entries,
            double limit,
            BiFunction<SimulatedSystem, SimulatedEntry, ShareLimiter> limiters) {
        SimulatedSystem s = new SimulatedSystem(entries, TARGETS, PER_ENTRY * entries, limiters, 1);
        for (int e = 0; e < entries; e++) {
            s.weights()[e] = e < entries / 2 ? 1 : 0.01;
        }
        s.at(SHIFT_MILLIS, () -> {
            for (int e = 0; e < entries; e++) {
                s.weights()[e] = e < entries / 2 ? 0.01 : 1;
            }
        });
        for (int t = 0; t < TARGETS; t++) {
            s.setLimit(t, limit);
        }
        s.run(END_MILLIS);
        int maximum = 0;
        for (int t = 0; t < TARGETS; t++) {
            maximum = Math.max(maximum, s.target(t).maxArrivals(LimitWindows.CONVERGENCE_MILLIS, END_MILLIS));
        }
        long messages = s.entries().stream().mapToLong(SimulatedEntry::messages).sum();
        long asks = s.entries().stream().mapToLong(SimulatedEntry::asks).sum();
        System.out.printf(
                Locale.ROOT,
                "%3d entries, limit %4.1f, %-14s: maximum in 4 s %4d (allowed %5.1f), utilisation %.2f, per second after the shift %s, control traffic %.0f bytes/s%n",
                entries,
                limit,
                name,
                maximum,
                1.5 * 4 * limit + 5,
                utilisation(s, limit, 5_000, END_MILLIS),
                afterShift(s, limit),
                (messages * CALL_BYTES + asks * ASK_BYTES) * 1_000.0 / END_MILLIS);
    }

    private static String afterShift(SimulatedSystem s, double limit) {
        StringBuilder out = new StringBuilder();
        for (long t = SHIFT_MILLIS; t < SHIFT_MILLIS + 4_000; t += 1_000) {
            out.append(String.format(Locale.ROOT, "%.2f ", utilisation(s, limit, t, t + 1_000)));
        }
        return out.toString().trim();
    }

    private static double utilisation(SimulatedSystem s, double limit, long from, long to) {
        double out = 0;
        for (int t = 0; t < TARGETS; t++) {
            out += s.target(t).arrivals(from, to) / (limit * (to - from) / 1_000) / TARGETS;
        }
        return out;
    }
}
