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

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a set of voters that one lost disk leaves without a quorum for good, while an instance joins and another one is
 * frozen.
 */
class LogJoinTest {

    private static final int SIZE = 3;
    private static final int FREEZE_MILLIS = 3_900;
    private static final int LAST_LOSS_MILLIS = 4_500;
    private static final int LOSS_STEP_MILLIS = 50;
    private static final int COMMIT_MILLIS = 1_000;
    private static final int RECOVERY_MILLIS = 12_000;

    private final LogSimulation simulation =
            new LogSimulation(1, SIZE, MembershipSchedule.OVERLAPPING_CHANGES, LogTiming.DEFAULT);

    /** Returns each role of the voter that loses its disk, with the time from the start of the join to the loss. */
    static Stream<Arguments> losses() {
        List<Arguments> out = new ArrayList<>();
        for (String loser : List.of("leader", "follower", "newcomer")) {
            for (int at = 0; at <= LAST_LOSS_MILLIS; at += LOSS_STEP_MILLIS) {
                out.add(Arguments.of(loser, at));
            }
        }
        return out.stream();
    }

    @ParameterizedTest
    @MethodSource("losses")
    void aDiskLostRightAfterACommitLeavesAQuorumAndLosesNothing(String loser, int lossMillis) {
        simulation.runFaultFree(RECOVERY_MILLIS);
        SimulatedVoter leader = simulation.leader();
        List<SimulatedVoter> followers = new ArrayList<>(simulation.instances());
        followers.remove(leader);
        simulation.freeze(followers.get(0), FREEZE_MILLIS);
        SimulatedVoter newcomer = simulation.addInstance();
        simulation.runFaultFree(lossMillis);
        long committed = simulation.commitOne(COMMIT_MILLIS);
        Assertions.assertTrue(committed > 0, "commits go on while an instance joins");

        SimulatedVoter lost = switch (loser) {
            case "leader" -> simulation.leader();
            case "follower" -> followers.get(1);
            default -> newcomer;
        };
        simulation.restartWithoutDisk(lost);
        simulation.runFaultFree(FREEZE_MILLIS + RECOVERY_MILLIS);
        Assertions.assertNotNull(simulation.leader());
        Assertions.assertTrue(simulation.leader().applied() >= committed);
        Assertions.assertTrue(simulation.commitOne(COMMIT_MILLIS) > committed);
    }
}
