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
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Reads that wait until a quorum has confirmed that this voter is still the leader. A lease is not sufficient, since
 * the clock does not advance while the machine is suspended. Not thread-safe.
 */
final class PendingReads {

    private final LogReplica replica;
    private final List<CompletableFuture<Long>> queued = new ArrayList<>();
    private final List<HeartbeatRound> rounds = new ArrayList<>();

    PendingReads(LogReplica replica) {
        this.replica = replica;
    }

    /** Adds a read, which is confirmed by the next round of heartbeats; rounds in progress do not count. */
    void add(CompletableFuture<Long> index) {
        queued.add(index);
    }

    /** Starts a round for the queued reads and completes those that are confirmed; reads of an earlier term fail. */
    void advance(long now, Supplier<LogProposalException> rejection) {
        ReplicaState state = replica.state();
        if (state.role() != LogRole.LEADER) {
            queued.forEach(f -> f.completeExceptionally(rejection.get()));
            queued.clear();
        } else if (!queued.isEmpty()) {
            OptionalLong sentAt = replica.startConfirmationRound(now);
            if (sentAt.isPresent()) {
                rounds.add(new HeartbeatRound(sentAt.getAsLong(), state.term(), List.copyOf(queued)));
                queued.clear();
            }
        }
        rounds.removeIf(r -> tryComplete(r, state, rejection));
    }

    private boolean tryComplete(HeartbeatRound round, ReplicaState state, Supplier<LogProposalException> rejection) {
        if (state.role() != LogRole.LEADER || state.term() != round.term()) {
            round.reads().forEach(f -> f.completeExceptionally(rejection.get()));
            return true;
        }
        if (replica.isRoundConfirmed(round.sentAt())) {
            round.reads().forEach(f -> f.complete(state.commit()));
            return true;
        }
        return false;
    }

    /** The reads that one round of heartbeats confirms. */
    private record HeartbeatRound(long sentAt, long term, List<CompletableFuture<Long>> reads) {}
}
