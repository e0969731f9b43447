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
package org.hallwall.serving.crash;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.serving.crash.CrashSimulationTest.FaultScenario;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs many simulated schedules and prints a summary for each kind; started manually: {@code mvn -pl serving -am test -Dtest=CrashSimulationRuns
 * -Dsurefire.failIfNoSpecifiedTests=false -Dcrash.entries=9 -Dcrash.targets=15 -Dcrash.perSecond=120 -Dcrash.days=50 -Dcrash.seed=1000}.
 * Seeds are consecutive, starting at {@code crash.seed}.
 */
class CrashSimulationRuns {

    private static final int SECONDS = 60;

    @ParameterizedTest
    @CsvSource({
        "crashing, 1, NOTHING",
        "crashing, 3, NOTHING",
        "crashing, 3, RACK_ENDS",
        "crashing, 3, DOMAIN_ENDS",
        "crashing, 3, DOMAIN_CUT_OFF",
        "crashing-late, 1, NOTHING",
        "crashing-late, 3, DOMAIN_ENDS",
        "crashing-late, 3, DOMAIN_CUT_OFF"
    })
    void days(String name, int crashing, FaultScenario scenario) {
        int harmless = 0;
        int harmlessHeld = 0;
        long slowest = 0;
        Map<Integer, Integer> crashes = new TreeMap<>();
        int lateSends = 0;
        int days = Integer.getInteger("crash.days", 5);
        for (int day = 0; day < days; day++) {
            SimulatedCrashes s = day(name, crashing, scenario, Integer.getInteger("crash.seed", 1_000) + day);
            harmless += s.harmless();
            harmlessHeld += s.harmlessHeld();
            slowest = Math.max(slowest, s.maxDetectionMillis());
            s.crashesByRequest().values().forEach(n -> crashes.merge(n, 1, Integer::sum));
            lateSends = Math.max(
                    lateSends,
                    s.lateSends().values().stream().mapToInt(n -> n).max().orElse(0));
        }
        System.out.printf(
                "%d days, %d of %s, %s: %d of %d harmless requests held back, held by all entries within %d ms, "
                        + "crashes per request and their frequency %s, sent at most %d times later than 3 s after the third crash%n",
                days, crashing, name, scenario, harmlessHeld, harmless, slowest, crashes, lateSends);
    }

    @ParameterizedTest
    @CsvSource({
        "0, DOMAIN_ENDS",
        "0, RACK_ENDS",
        "1, NOTHING",
        "3, NOTHING",
        "1, RACK_ENDS",
        "1, DOMAIN_ENDS",
        "1, DOMAIN_CUT_OFF",
        "1, NO_LEADER",
        "1, ENTRIES_RESTART"
    })
    void daysWithCrashingParts(int parts, FaultScenario scenario) {
        int harmless = 0;
        int harmlessHeld = 0;
        int daysWithHeld = 0;
        long slowest = 0;
        Map<Integer, Integer> crashes = new TreeMap<>();
        Map<Integer, Integer> lateSends = new TreeMap<>();
        int days = Integer.getInteger("crash.days", 5);
        for (int day = 0; day < days; day++) {
            SimulatedCrashes s = dayWithParts(parts, scenario, Integer.getInteger("crash.seed", 1_000) + day);
            harmless += s.harmless();
            harmlessHeld += s.harmlessHeld();
            daysWithHeld += s.harmlessHeld() > 0 ? 1 : 0;
            slowest = Math.max(slowest, s.maxPartSpreadMillis());
            s.crashesByPart().values().forEach(times -> crashes.merge(times.size(), 1, Integer::sum));
            s.lateSendsByPart().values().forEach(n -> lateSends.merge(n, 1, Integer::sum));
        }
        System.out.printf(
                "%d days, %d crashing parts, %s: %d of %d harmless requests held back, on %d days; held by all entries within %d ms; "
                        + "crashes per part and their frequency %s, late sends per part and their frequency %s%n",
                days, parts, scenario, harmlessHeld, harmless, daysWithHeld, slowest, crashes, lateSends);
    }

    private static SimulatedCrashes dayWithParts(int parts, FaultScenario scenario, long seed) {
        int perSecond = Integer.getInteger("crash.perSecond", 120);
        SimulatedCrashes s = new SimulatedCrashes(
                Integer.getInteger("crash.entries", 9), Integer.getInteger("crash.targets", 15), seed);
        s.run(3, perSecond, 0.3, 5);
        for (int i = 0; i < parts; i++) {
            s.sendWithPart("crashing-" + i, 200);
            s.run(1, perSecond, 0.3, 5);
        }
        for (int i = 0; i < SECONDS / 5; i++) {
            scenario.apply(s);
            s.run(5, perSecond, 0.3, 5);
        }
        return s;
    }

    private static SimulatedCrashes day(String name, int crashing, FaultScenario scenario, long seed) {
        int perSecond = Integer.getInteger("crash.perSecond", 120);
        SimulatedCrashes s = new SimulatedCrashes(
                Integer.getInteger("crash.entries", 9), Integer.getInteger("crash.targets", 15), seed);
        s.run(3, perSecond, 0.3, 5);
        for (int i : List.of(0, 1, 2).subList(0, crashing)) {
            s.sendPeriodically(name + "-" + i, 700);
            s.run(1, perSecond, 0.3, 5);
        }
        for (int i = 0; i < SECONDS / 5; i++) {
            scenario.apply(s);
            s.run(5, perSecond, 0.3, 5);
        }
        return s;
    }
}
