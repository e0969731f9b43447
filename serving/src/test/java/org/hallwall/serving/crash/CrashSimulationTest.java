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

import java.util.function.Consumer;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Requests that end targets among many that do not, at the sizes of fleets: how many targets each costs, how soon all entries know it, and
 * whether an innocent request is held back. Innocent ones are popular in part, so that the same is in progress on many targets that end.
 */
class CrashSimulationTest {

    private static final int SECONDS = 60;
    /** Retries that are sent later than 3 s after the third end. */
    private static final int RETRIES = 3;
    /** In milliseconds: after this all entries in touch must know. */
    private static final long KNOWN_WITHIN = 3_000;

    /** What else happens. */
    enum Besides {
        NOTHING(s -> {}),
        ENTRIES_RESTART(SimulatedCrashes::restartEntries),
        RACK_ENDS(s -> s.endSome(0.1)),
        DOMAIN_ENDS(s -> s.endSome(0.33)),
        NO_LEADER(s -> s.leaderless(1_500)),
        DOMAIN_CUT_OFF(s -> s.cutOff(0.33, 4_000));

        private final Consumer<SimulatedCrashes> trouble;

        Besides(Consumer<SimulatedCrashes> trouble) {
            this.trouble = trouble;
        }

        void happen(SimulatedCrashes s) {
            trouble.accept(s);
        }
    }

    /** Entries, targets and requests a second grow together; each guilty request comes every 0.7 s to any entry. */
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
    void guiltyOnesAreHeldBackAndInnocentOnesAreNot(int entries, int targets, int perSecond, int guilty, long seed) {
        SimulatedCrashes s = new SimulatedCrashes(entries, targets, seed);
        s.run(3, perSecond, 0.3, 5);
        for (int i = 0; i < guilty; i++) {
            s.comes("guilty-" + i, 700);
            s.run(1, perSecond, 0.3, 5);
        }
        s.run(SECONDS - guilty, perSecond, 0.3, 5);
        check(s, "entries " + entries + ", guilty " + guilty);
    }

    @ParameterizedTest
    @EnumSource(Besides.class)
    void theSameWhateverElseHappens(Besides besides) {
        SimulatedCrashes s = new SimulatedCrashes(9, 15, 11);
        s.run(3, 120, 0.3, 5);
        besides.happen(s);
        s.comes("guilty-0", 700);
        for (int i = 0; i < SECONDS / 5; i++) {
            s.run(5, 120, 0.3, 5);
            besides.happen(s);
        }
        check(s, besides.name());
    }

    /** A target ends 0.4 s after the entry has left it with the request, and comes back under another name: no connection breaks off. */
    @ParameterizedTest
    @CsvSource({"9, 15, 120, 31", "9, 15, 120, 32", "82, 40, 500, 33", "350, 116, 2000, 34"})
    void guiltyOnesThatAreLeftBeforeTheEndAreHeldBackToo(int entries, int targets, int perSecond, long seed) {
        SimulatedCrashes s = new SimulatedCrashes(entries, targets, seed);
        s.run(3, perSecond, 0.3, 5);
        s.comes("guilty-late", 700);
        s.run(SECONDS, perSecond, 0.3, 5);
        check(s, "entries " + entries + ", left before the end");
    }

    /** Ends without a guilty request: nothing is ever held back, however popular. */
    @ParameterizedTest
    @CsvSource({"0.05, 0.0", "0.1, 0.3", "0.33, 0.3", "0.33, 0.9"})
    void endsWithoutAGuiltyRequestHoldNobodyBack(double part, double popular) {
        SimulatedCrashes s = new SimulatedCrashes(9, 15, 21);
        for (int i = 0; i < SECONDS; i++) {
            s.endSome(part / 3);
            s.run(1, 120, popular, 3);
        }
        check(s, "ends of " + part + ", popular " + popular);
    }

    private static void check(SimulatedCrashes s, String what) {
        String figures = String.format(
                "%s: targets ended under each %s, sent later %s, known after %d ms, %d of %d innocent ones held back",
                what, s.endedBy(), s.sentLater(), s.slowestToKnow(), s.innocentsHeld(), s.innocents());
        System.out.println(figures);
        Assertions.assertTrue(s.sentLater().values().stream().allMatch(n -> n <= RETRIES), figures);
        Assertions.assertTrue(s.slowestToKnow() <= KNOWN_WITHIN, figures);
        Assertions.assertEquals(0, s.innocentsHeld(), figures);
    }
}
