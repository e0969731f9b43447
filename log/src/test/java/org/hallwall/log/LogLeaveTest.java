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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a planned stop of a voter leaves a quorum that may lose a disk. */
class LogLeaveTest {

    private static final int STEP_MILLIS = 10;
    private static final int MAX_STEPS = 1_000;
    /** Less than the shortest election timeout of a voter that has lost its leader. */
    private static final int HANDOVER_MILLIS = 100;
    /** After this time without a reply a voter no longer counts as responsive. */
    private static final int SILENT_MILLIS = 1_100;

    private final Map<InstanceId, LogReplica> replicas = new LinkedHashMap<>();
    private final Deque<InFlightMessage> network = new ArrayDeque<>();
    private final Set<InstanceId> stopped = new HashSet<>();
    private long now = 1_000;

    private void startVoters(int size) {
        List<InstanceId> ids = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            ids.add(new InstanceId("c-" + i));
        }
        for (InstanceId id : ids) {
            RecoveredState empty = new RecoveredState(
                    new DataFolder(id + "-0", true), new LogVote(0, null), LogSnapshot.EMPTY, List.of());
            replicas.put(
                    id,
                    new LogReplica(
                            new LogVoterConfig(id, ids, 1, LogTiming.DEFAULT), empty, new Random(id.hashCode()), now));
        }
    }

    private void step() {
        now += STEP_MILLIS;
        replicas.forEach((id, r) -> {
            if (!stopped.contains(id)) {
                enqueue(id, r.tick(now));
            }
        });
        while (!network.isEmpty()) {
            InFlightMessage f = network.poll();
            if (!stopped.contains(f.to()) && !stopped.contains(f.from())) {
                enqueue(f.to(), replicas.get(f.to()).receive(now, f.message()));
            }
        }
    }

    private void enqueue(InstanceId from, List<LogAction> actions) {
        for (LogAction a : actions) {
            if (a instanceof LogAction.Send s) {
                network.add(new InFlightMessage(from, s.to(), s.message()));
            }
        }
    }

    private InstanceId findLeader() {
        for (Map.Entry<InstanceId, LogReplica> e : replicas.entrySet()) {
            if (!stopped.contains(e.getKey()) && e.getValue().holdsLease(now)) {
                return e.getKey();
            }
        }
        return null;
    }

    private InstanceId awaitLeader() {
        for (int i = 0; i < MAX_STEPS; i++) {
            step();
            InstanceId leader = findLeader();
            if (leader != null) {
                return leader;
            }
        }
        throw new AssertionError("no leader");
    }

    private LeaveStatus leave(InstanceId leaving, int steps) {
        LeaveStatus status = LeaveStatus.NOT_REQUESTED;
        for (int i = 0; i < steps && !status.isDecided(); i++) {
            status = replicas.get(leaving).leave(now);
            enqueue(leaving, replicas.get(leaving).drainActions());
            step();
        }
        return status;
    }

    private InstanceId anyFollower(InstanceId leader) {
        return replicas.keySet().stream()
                .filter(id -> !id.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a quorum that a lost disk ends for good, since a voter that is gone still counts. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLostDiskAfterAPlannedStopLeavesAQuorum(boolean leaderStops) {
        startVoters(4);
        InstanceId leader = awaitLeader();
        InstanceId leaving = leaderStops ? leader : anyFollower(leader);
        Assertions.assertEquals(LeaveStatus.REMOVED, leave(leaving, MAX_STEPS));
        stopped.add(leaving);
        InstanceId lost = awaitLeader();
        Assertions.assertEquals(3, replicas.get(lost).state().voters().size());
        stopped.add(lost);
        Assertions.assertNotEquals(lost, awaitLeader());
    }

    /** Guards against a fleet of the wanted size that shrinks when a voter restarts. */
    @Test
    void aVoterThatIsNeededStaysInTheSet() {
        startVoters(3);
        InstanceId leader = awaitLeader();
        Assertions.assertEquals(LeaveStatus.KEPT, leave(anyFollower(leader), MAX_STEPS));
        Assertions.assertEquals(3, replicas.get(leader).state().voters().size());
    }

    /** Guards against a removal after which those that respond are no quorum. */
    @Test
    void aVoterStaysWhileTheOthersAreNoQuorum() {
        startVoters(5);
        InstanceId leader = awaitLeader();
        List<InstanceId> followers =
                replicas.keySet().stream().filter(id -> !id.equals(leader)).toList();
        stopped.add(followers.get(1));
        stopped.add(followers.get(2));
        for (int waited = 0; waited <= SILENT_MILLIS; waited += STEP_MILLIS) {
            step();
        }
        Assertions.assertEquals(LeaveStatus.REQUESTED, leave(followers.get(0), SILENT_MILLIS / STEP_MILLIS));
        Assertions.assertEquals(5, replicas.get(leader).state().voters().size());
    }

    /** Guards against an election timeout without a leader at each planned stop. */
    @Test
    void aLeaderThatStopsHandsOverAtOnce() {
        startVoters(3);
        InstanceId leader = awaitLeader();
        long stoppedAt = now;
        Assertions.assertEquals(LeaveStatus.KEPT, leave(leader, MAX_STEPS));
        Assertions.assertNotEquals(leader, awaitLeader());
        Assertions.assertTrue(now - stoppedAt <= HANDOVER_MILLIS, "took " + (now - stoppedAt) + " ms");
    }

    /** Guards against a removed voter that helps to elect a leader of the set before. */
    @Test
    void aRemovedVoterDoesNotVote() {
        startVoters(4);
        InstanceId leader = awaitLeader();
        InstanceId leaving = anyFollower(leader);
        Assertions.assertEquals(LeaveStatus.REMOVED, leave(leaving, MAX_STEPS));
        now += 10 * LogTiming.DEFAULT.electionTimeoutMillis();
        long term = replicas.get(leader).state().term() + 1;
        List<LogAction> actions = replicas.get(leaving)
                .receive(now, new LogMessage.VoteRequest(term, leader, 1_000, term, false, 0, false, false));
        for (LogAction a : actions) {
            if (a instanceof LogAction.Send s && s.message() instanceof LogMessage.VoteReply r) {
                Assertions.assertFalse(r.granted());
            }
        }
    }

    private record InFlightMessage(InstanceId from, InstanceId to, LogMessage message) {}
}
