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

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Simulates crashing requests and crashing prompt parts among harmless ones: bounds the targets that each crashes and the time until all
 * entries hold it, and checks that no harmless request is held, even if it is in progress on many targets that fail.
 */
class CrashSimulationTest {

    private static final int SECONDS = 60;
    /** Maximum number of sends later than 3 s after the third crash. */
    private static final int MAX_LATE_SENDS = 3;
    /** The time in milliseconds within which all connected entries must hold a crashing request. */
    private static final long MAX_DETECTION_MILLIS = 3_000;

    /** The time in milliseconds from the decision to hold a prompt part until all connected entries hold it. */
    private static final long MAX_PART_SPREAD_MILLIS = 100;

    /** Other faults during a run. */
    enum FaultScenario {
        NOTHING(s -> {}),
        ENTRIES_RESTART(SimulatedCrashes::restartEntries),
        RACK_ENDS(s -> s.crashSome(0.1)),
        DOMAIN_ENDS(s -> s.crashSome(0.33)),
        NO_LEADER(s -> s.loseLeader(1_500)),
        DOMAIN_CUT_OFF(s -> s.cutOff(0.33, 4_000));

        private final Consumer<SimulatedCrashes> action;

        FaultScenario(Consumer<SimulatedCrashes> action) {
            this.action = action;
        }

        void apply(SimulatedCrashes s) {
            action.accept(s);
        }
    }

    /** Each crashing request is sent every 0.7 s to a random entry. */
    @ParameterizedTest
    @CsvSource({
        "9, 15, 120, 1, 1",
        "9, 15, 120, 1, 2",
        "9, 15, 120, 3, 3",
        "9, 15, 120, 3, 4",
        "82, 40, 500, 3, 5",
        "82, 40, 500, 10, 6",
        "350, 116, 2000, 10, 7"
    })
    void onlyCrashingRequestsAreHeld(int entries, int targets, int perSecond, int crashing, long seed) {
        SimulatedCrashes s = new SimulatedCrashes(entries, targets, seed);
        s.run(3, perSecond, 0.3, 5);
        for (int i = 0; i < crashing; i++) {
            s.sendPeriodically("crashing-" + i, 700);
            s.run(1, perSecond, 0.3, 5);
        }
        s.run(SECONDS - crashing, perSecond, 0.3, 5);
        check(s, "entries " + entries + ", crashing " + crashing);
    }

    @ParameterizedTest
    @EnumSource(FaultScenario.class)
    void onlyCrashingRequestsAreHeldDuringOtherFaults(FaultScenario scenario) {
        SimulatedCrashes s = new SimulatedCrashes(9, 15, 11);
        s.run(3, 120, 0.3, 5);
        scenario.apply(s);
        s.sendPeriodically("crashing-0", 700);
        for (int i = 0; i < SECONDS / 5; i++) {
            s.run(5, 120, 0.3, 5);
            scenario.apply(s);
        }
        check(s, scenario.name());
    }

    /** A target that crashes 0.4 s after the entry has abandoned the request, so that the entry sees no connection break. */
    @ParameterizedTest
    @CsvSource({"9, 15, 120, 31", "9, 15, 120, 32", "82, 40, 500, 33", "350, 116, 2000, 34"})
    void abandonedRequestsThatCrashAreHeld(int entries, int targets, int perSecond, long seed) {
        SimulatedCrashes s = new SimulatedCrashes(entries, targets, seed);
        s.run(3, perSecond, 0.3, 5);
        s.sendPeriodically("crashing-late", 700);
        s.run(SECONDS, perSecond, 0.3, 5);
        check(s, "entries " + entries + ", abandoned before the crash");
    }

    /** Crashes without a crashing request hold nothing back, however frequent a request is. */
    @ParameterizedTest
    @CsvSource({"0.05, 0.0", "0.1, 0.3", "0.33, 0.3", "0.33, 0.9"})
    void crashesByOtherCausesHoldNothing(double part, double popular) {
        SimulatedCrashes s = new SimulatedCrashes(9, 15, 21);
        for (int i = 0; i < SECONDS; i++) {
            s.crashSome(part / 3);
            s.run(1, 120, popular, 3);
        }
        check(s, "crashes of " + part + ", popular " + popular);
    }

    /** Requests that share only a prompt part with each other, five a second for each part, beside harmless ones with the other parts. */
    @ParameterizedTest
    @CsvSource({
        "9, 15, 120, 1, NOTHING, 41",
        "9, 15, 120, 3, NOTHING, 42",
        "9, 15, 120, 1, ENTRIES_RESTART, 43",
        "9, 15, 120, 1, RACK_ENDS, 44",
        "9, 15, 120, 1, DOMAIN_ENDS, 45",
        "9, 15, 120, 1, NO_LEADER, 46",
        "9, 15, 120, 1, DOMAIN_CUT_OFF, 47",
        "82, 40, 500, 3, NOTHING, 48",
        "9, 15, 10, 3, NOTHING, 50",
        "9, 15, 3, 1, NOTHING, 51",
        "9, 15, 3, 3, NOTHING, 52",
        "9, 15, 3, 3, DOMAIN_ENDS, 53",
        "350, 116, 2000, 3, NOTHING, 49"
    })
    void onlyRequestsWithCrashingPartsAreHeld(
            int entries, int targets, int perSecond, int parts, FaultScenario scenario, long seed) {
        SimulatedCrashes s = new SimulatedCrashes(entries, targets, seed);
        s.run(3, perSecond, 0.3, 5);
        scenario.apply(s);
        for (int i = 0; i < parts; i++) {
            s.sendWithPart("crashing-" + i, 200);
            s.run(1, perSecond, 0.3, 5);
        }
        for (int i = 0; i < SECONDS / 10; i++) {
            s.run(5, perSecond, 0.3, 5);
            scenario.apply(s);
        }
        checkParts(s, "entries " + entries + ", " + parts + " parts, " + scenario);
    }

    private static void checkParts(SimulatedCrashes s, String what) {
        Map<String, Integer> crashes = new TreeMap<>();
        s.crashesByPart().forEach((part, times) -> crashes.put(part, times.size()));
        String figures = String.format(
                "%s: crashes per part %s, late sends %s, held by all entries %d ms after the decision, %d of %d harmless requests held back",
                what, crashes, s.lateSendsByPart(), s.maxPartSpreadMillis(), s.harmlessHeld(), s.harmless());
        System.out.println(figures);
        Assertions.assertTrue(s.lateSendsByPart().values().stream().allMatch(n -> n <= MAX_LATE_SENDS), figures);
        Assertions.assertTrue(s.maxPartSpreadMillis() <= MAX_PART_SPREAD_MILLIS, figures);
        Assertions.assertEquals(0, s.harmlessHeld(), figures);
    }

    private static void check(SimulatedCrashes s, String what) {
        String figures = String.format(
                "%s: crashes per request %s, late sends %s, held by all entries within %d ms, %d of %d harmless requests held back",
                what, s.crashesByRequest(), s.lateSends(), s.maxDetectionMillis(), s.harmlessHeld(), s.harmless());
        System.out.println(figures);
        Assertions.assertTrue(s.lateSends().values().stream().allMatch(n -> n <= MAX_LATE_SENDS), figures);
        Assertions.assertTrue(s.maxDetectionMillis() <= MAX_DETECTION_MILLIS, figures);
        Assertions.assertEquals(0, s.harmlessHeld(), figures);
    }
}
