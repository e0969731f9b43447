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

import org.hallwall.serving.crash.CrashSimulationTest.Besides;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many simulated days by hand, not part of the tests: {@code mvn -pl serving -am test -Dtest=CrashSimulationRuns
 * -Dsurefire.failIfNoSpecifiedTests=false -Dcrash.entries=9 -Dcrash.targets=15 -Dcrash.perSecond=120 -Dcrash.days=50 -Dcrash.seed=1000}. One
 * line for each kind of day: the seeds are {@code crash.seed} and those after it.
 */
class CrashSimulationRuns {

    private static final int SECONDS = 60;

    @ParameterizedTest
    @CsvSource({
        "guilty, 1, NOTHING",
        "guilty, 3, NOTHING",
        "guilty, 3, RACK_ENDS",
        "guilty, 3, DOMAIN_ENDS",
        "guilty, 3, DOMAIN_CUT_OFF",
        "guilty-late, 1, NOTHING",
        "guilty-late, 3, DOMAIN_ENDS",
        "guilty-late, 3, DOMAIN_CUT_OFF"
    })
    void days(String name, int guilty, Besides besides) {
        int innocents = 0;
        int held = 0;
        long slowest = 0;
        Map<Integer, Integer> ended = new TreeMap<>();
        int later = 0;
        int days = Integer.getInteger("crash.days", 5);
        for (int day = 0; day < days; day++) {
            SimulatedCrashes s = day(name, guilty, besides, Integer.getInteger("crash.seed", 1_000) + day);
            innocents += s.innocents();
            held += s.innocentsHeld();
            slowest = Math.max(slowest, s.slowestToKnow());
            s.endedBy().values().forEach(n -> ended.merge(n, 1, Integer::sum));
            later = Math.max(
                    later,
                    s.sentLater().values().stream().mapToInt(n -> n).max().orElse(0));
        }
        System.out.printf(
                "%d days, %d of %s, %s: %d of %d innocent ones held back, known after %d ms at most, "
                        + "targets ended under one and how often %s, sent later than 3 s after the third at most %d times%n",
                days, guilty, name, besides, held, innocents, slowest, ended, later);
    }

    private static SimulatedCrashes day(String name, int guilty, Besides besides, long seed) {
        int perSecond = Integer.getInteger("crash.perSecond", 120);
        SimulatedCrashes s = new SimulatedCrashes(
                Integer.getInteger("crash.entries", 9), Integer.getInteger("crash.targets", 15), seed);
        s.run(3, perSecond, 0.3, 5);
        for (int i : List.of(0, 1, 2).subList(0, guilty)) {
            s.comes(name + "-" + i, 700);
            s.run(1, perSecond, 0.3, 5);
        }
        for (int i = 0; i < SECONDS / 5; i++) {
            besides.happen(s);
            s.run(5, perSecond, 0.3, 5);
        }
        return s;
    }
}
