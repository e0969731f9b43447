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
 * Reads that wait until a quorum has confirmed that this voter still leads. A lease goes by a clock, and a machine that is suspended does not
 * count that time; a quorum that follows another leader does not answer. Not safe for use by several threads.
 */
final class LogReads {

    private final LogReplica replica;
    private final List<CompletableFuture<Long>> asked = new ArrayList<>();
    private final List<Round> rounds = new ArrayList<>();

    LogReads(LogReplica replica) {
        this.replica = replica;
    }

    /** Takes a read; a round that has begun before does not speak for it. */
    void ask(CompletableFuture<Long> index) {
        asked.add(index);
    }

    /** Begins a round for what was asked and answers what is confirmed; a read of a term that is over is refused. */
    void step(long now, Supplier<LogProposalException> refusal) {
        LogState state = replica.state();
        if (state.role() != LogRole.LEADER) {
            asked.forEach(f -> f.completeExceptionally(refusal.get()));
            asked.clear();
        } else if (!asked.isEmpty()) {
            OptionalLong sentAt = replica.confirm(now);
            if (sentAt.isPresent()) {
                rounds.add(new Round(sentAt.getAsLong(), state.term(), List.copyOf(asked)));
                asked.clear();
            }
        }
        rounds.removeIf(r -> isOver(r, state, refusal));
    }

    private boolean isOver(Round round, LogState state, Supplier<LogProposalException> refusal) {
        if (state.role() != LogRole.LEADER || state.term() != round.term()) {
            round.reads().forEach(f -> f.completeExceptionally(refusal.get()));
            return true;
        }
        if (replica.isConfirmed(round.sentAt())) {
            round.reads().forEach(f -> f.complete(state.commit()));
            return true;
        }
        return false;
    }

    /** Reads that the answers to one round of heartbeats confirm. */
    private record Round(long sentAt, long term, List<CompletableFuture<Long>> reads) {}
}
