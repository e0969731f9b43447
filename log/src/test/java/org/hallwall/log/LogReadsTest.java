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
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies that only quorum replies to messages sent after a read confirm that read. */
class LogReadsTest {

    private static final int VOTERS = 3;
    private static final int STEP_MILLIS = 10;
    private static final int MAX_STEPS = 1_000;

    private final Map<InstanceId, LogReplica> replicas = new LinkedHashMap<>();
    private final Deque<InFlightMessage> network = new ArrayDeque<>();
    private final Set<InstanceId> suspended = new HashSet<>();
    private final CompletableFuture<Long> read = new CompletableFuture<>();
    private long now = 1_000;
    private InstanceId leader;
    private PendingReads reads;

    @BeforeEach
    void electLeader() {
        List<InstanceId> ids = List.of(new InstanceId("c-0"), new InstanceId("c-1"), new InstanceId("c-2"));
        Assertions.assertEquals(VOTERS, ids.size());
        for (InstanceId id : ids) {
            RecoveredState emptyState = new RecoveredState(
                    new DataFolder(id + "-0", true), new LogVote(0, null), LogSnapshot.EMPTY, List.of());
            replicas.put(
                    id,
                    new LogReplica(
                            new LogVoterConfig(id, ids, LogTiming.DEFAULT),
                            emptyState,
                            new Random(id.hashCode()),
                            now));
        }
        leader = awaitLeader();
        reads = new PendingReads(replicas.get(leader));
    }

    private InstanceId awaitLeader() {
        for (int i = 0; i < MAX_STEPS; i++) {
            now += STEP_MILLIS;
            replicas.forEach((id, r) -> {
                if (!suspended.contains(id)) {
                    enqueue(id, r.tick(now));
                }
            });
            deliver();
            for (Map.Entry<InstanceId, LogReplica> e : replicas.entrySet()) {
                if (!suspended.contains(e.getKey()) && e.getValue().holdsLease(now)) {
                    return e.getKey();
                }
            }
        }
        throw new AssertionError("no leader");
    }

    private void enqueue(InstanceId from, List<LogAction> actions) {
        for (LogAction a : actions) {
            if (a instanceof LogAction.Send s) {
                network.add(new InFlightMessage(from, s.to(), s.message()));
            }
        }
    }

    private void deliver() {
        while (!network.isEmpty()) {
            InFlightMessage f = network.poll();
            if (!suspended.contains(f.to()) && !suspended.contains(f.from())) {
                enqueue(f.to(), replicas.get(f.to()).receive(now, f.message()));
            }
        }
    }

    private void advance() {
        reads.advance(now, () -> new LogProposalException(Verdict.NOT_RUN, "not the leader", null));
        enqueue(leader, replicas.get(leader).drainActions());
    }

    @Test
    void heartbeatRoundConfirmsRead() {
        now++;
        reads.add(read);
        advance();
        Assertions.assertFalse(read.isDone(), "before any reply");
        deliver();
        advance();
        Assertions.assertEquals(replicas.get(leader).state().commit(), read.join());
    }

    @Test
    void repliesToEarlierMessagesDoNotConfirmRead() {
        now++;
        Assertions.assertTrue(
                replicas.get(leader).startConfirmationRound(now).isPresent(), "heartbeats of this millisecond");
        enqueue(leader, replicas.get(leader).drainActions());
        reads.add(read);
        advance();
        deliver();
        advance();
        Assertions.assertFalse(read.isDone(), "replies to earlier messages do not confirm a later read");
        now++;
        advance();
        deliver();
        advance();
        Assertions.assertTrue(read.isDone());
    }

    @Test
    void suspendedLeaderFailsReadOnceItSeesNewLeader() {
        InstanceId suspendedLeader = leader;
        long suspendedAt = now;
        suspended.add(suspendedLeader);
        leader = awaitLeader();
        Assertions.assertNotEquals(suspendedLeader, leader);

        long resumedAt = now;
        leader = suspendedLeader;
        now = suspendedAt + 1;
        Assertions.assertTrue(
                replicas.get(suspendedLeader).holdsLease(now), "the lease is still valid by its own clock");
        reads.add(read);
        advance();
        Assertions.assertFalse(read.isDone());
        suspended.clear();
        deliver();
        now = resumedAt;
        advance();
        Assertions.assertTrue(read.isCompletedExceptionally());
    }

    private record InFlightMessage(InstanceId from, InstanceId to, LogMessage message) {}
}
