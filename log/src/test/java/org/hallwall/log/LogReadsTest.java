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

/** Which answers of a quorum confirm a read: those to messages that were sent after it came, and no others. */
class LogReadsTest {

    private static final int VOTERS = 3;
    private static final int STEP_MILLIS = 10;
    private static final int MOST_STEPS = 1_000;

    private final Map<InstanceId, LogReplica> replicas = new LinkedHashMap<>();
    private final Deque<Flight> network = new ArrayDeque<>();
    private final Set<InstanceId> suspended = new HashSet<>();
    private final CompletableFuture<Long> read = new CompletableFuture<>();
    private long now = 1_000;
    private InstanceId leader;
    private LogReads reads;

    @BeforeEach
    void elect() {
        List<InstanceId> ids = List.of(new InstanceId("c-0"), new InstanceId("c-1"), new InstanceId("c-2"));
        Assertions.assertEquals(VOTERS, ids.size());
        for (InstanceId id : ids) {
            LogStored blank =
                    new LogStored(new LogFolder(id + "-0", true), new LogVote(0, null), LogSnapshot.EMPTY, List.of());
            replicas.put(
                    id, new LogReplica(new LogSeat(id, ids, LogTiming.DEFAULT), blank, new Random(id.hashCode()), now));
        }
        leader = awaitLeader();
        reads = new LogReads(replicas.get(leader));
    }

    private InstanceId awaitLeader() {
        for (int i = 0; i < MOST_STEPS; i++) {
            now += STEP_MILLIS;
            replicas.forEach((id, r) -> {
                if (!suspended.contains(id)) {
                    take(id, r.tick(now));
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

    private void take(InstanceId from, List<LogAction> actions) {
        for (LogAction a : actions) {
            if (a instanceof LogAction.Send s) {
                network.add(new Flight(from, s.to(), s.message()));
            }
        }
    }

    private void deliver() {
        while (!network.isEmpty()) {
            Flight f = network.poll();
            if (!suspended.contains(f.to()) && !suspended.contains(f.from())) {
                take(f.to(), replicas.get(f.to()).receive(now, f.message()));
            }
        }
    }

    private void step() {
        reads.step(now, () -> new LogProposalException(Verdict.NOT_RUN, "not the leader", null));
        take(leader, replicas.get(leader).taken());
    }

    @Test
    void aRoundOfHeartbeatsConfirms() {
        now++;
        reads.ask(read);
        step();
        Assertions.assertFalse(read.isDone(), "before any answer");
        deliver();
        step();
        Assertions.assertEquals(replicas.get(leader).state().commit(), read.join());
    }

    @Test
    void answersToEarlierMessagesDoNot() {
        now++;
        Assertions.assertTrue(replicas.get(leader).confirm(now).isPresent(), "heartbeats of this millisecond");
        take(leader, replicas.get(leader).taken());
        reads.ask(read);
        step();
        deliver();
        step();
        Assertions.assertFalse(read.isDone(), "the answers may have been on their way for long");
        now++;
        step();
        deliver();
        step();
        Assertions.assertTrue(read.isDone());
    }

    @Test
    void aLeaderThatWasSuspendedRefusesOnceItHearsOfAnother() {
        InstanceId first = leader;
        long stoodAt = now;
        suspended.add(first);
        leader = awaitLeader();
        Assertions.assertNotEquals(first, leader);

        long later = now;
        leader = first;
        now = stoodAt + 1;
        Assertions.assertTrue(replicas.get(first).holdsLease(now), "by its own clock it holds the lease");
        reads.ask(read);
        step();
        Assertions.assertFalse(read.isDone());
        suspended.clear();
        deliver();
        now = later;
        step();
        Assertions.assertTrue(read.isCompletedExceptionally());
    }

    private record Flight(InstanceId from, InstanceId to, LogMessage message) {}
}
