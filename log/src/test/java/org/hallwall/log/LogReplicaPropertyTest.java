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
package org.hallwall.log;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs replicas through randomized fault schedules from fixed seeds. */
class LogReplicaPropertyTest {

    @Property(tries = 1400, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void threeVotersAgree(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        assertTrue(new LogSimulation(seed, 3).run() > 0);
    }

    @Property(tries = 600, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void fiveVotersAgree(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        assertTrue(new LogSimulation(seed, 5).run() > 0);
    }

    /** Instances are lost permanently and replaced by empty ones at other addresses. */
    @Property(tries = 600, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void votersAgreeAcrossReplacements(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        assertTrue(new LogSimulation(seed, 3, MembershipSchedule.REPLACEMENTS, LogSimulation.WITHOUT_COLD_START_PROBES)
                        .run()
                > 0);
    }

    /** Guards against a planned change after which one lost disk leaves no quorum, while another voter is frozen. */
    @Property(tries = 600, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void votersAgreeAcrossOverlappingChanges(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        int size = seed % 3 == 0 ? 5 : 3;
        LogSimulation simulation = new LogSimulation(
                seed, size, MembershipSchedule.OVERLAPPING_CHANGES, LogSimulation.WITHOUT_COLD_START_PROBES);
        assertTrue(simulation.run() > 0);
    }

    /** All voters lose power at once; the first election skips the wait if all of them have just started. */
    @Property(tries = 600, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void votersAgreeAfterColdStart(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        assertTrue(
                new LogSimulation(seed, 3, MembershipSchedule.FIXED, LogSimulation.WITH_COLD_START_PROBES).run() > 0);
        assertTrue(
                new LogSimulation(seed, 5, MembershipSchedule.FIXED, LogSimulation.WITH_COLD_START_PROBES).run() > 0);
    }

    /** Guards against a first election after a power loss that waits for a lease that cannot exist. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void firstElectionAfterPowerLossDoesNotWait(long seed) {
        long withoutProbes = new LogSimulation(
                        seed, 3, MembershipSchedule.FIXED, LogSimulation.WITHOUT_COLD_START_PROBES)
                .millisToFirstLeader();
        long withProbes = new LogSimulation(seed, 3, MembershipSchedule.FIXED, LogSimulation.WITH_COLD_START_PROBES)
                .millisToFirstLeader();
        assertTrue(
                withoutProbes >= LogSimulation.WITHOUT_COLD_START_PROBES.electionTimeoutMillis(),
                "without probes: " + withoutProbes);
        assertTrue(
                withProbes <= 3 * LogSimulation.WITH_COLD_START_PROBES.coldStartProbeMillis(),
                "with probes: " + withProbes);
    }

    /** Regression: a voter lost the admission of its new data folder on a restart. */
    @ParameterizedTest
    @ValueSource(longs = {509})
    void admissionSurvivesRestart(long seed) {
        assertTrue(new LogSimulation(seed, 3).run() > 0);
    }
}
