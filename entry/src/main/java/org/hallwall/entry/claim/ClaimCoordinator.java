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
package org.hallwall.entry.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.claim.ClaimMessage.GrantReply;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Claims idempotency keys for this entry at the replicas of each key. */
public final class ClaimCoordinator {

    private static final int REPLICAS = 3;
    private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(400);
    private static final Duration COMPLETION_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 5;
    private static final long MIN_BACKOFF_MILLIS = 10;
    private static final long MAX_BACKOFF_MILLIS = 80;

    private final InstanceId self;
    private final ClaimStore store;
    private final ClaimPeers peers;
    private final Ticker ticker;

    /**
     * Creates the coordinator.
     *
     * @param self the id of this entry
     * @param store the claims stored on this entry
     * @param peers the other entries of the failure domain
     * @param ticker the monotonic clock
     */
    public ClaimCoordinator(InstanceId self, ClaimStore store, ClaimPeers peers, Ticker ticker) {
        this.self = self;
        this.store = store;
        this.peers = peers;
        this.ticker = ticker;
    }

    /**
     * Claims a key at a quorum of its replicas.
     *
     * @param key the key
     * @param bodyHash the hash of the request
     * @return the decision, or a {@link RefusalException}; no request has been dispatched yet
     */
    public Mono<ClaimDecision> claim(IdempotencyKey key, String bodyHash) {
        return claim(key, bodyHash, MAX_ATTEMPTS);
    }

    private Mono<ClaimDecision> claim(IdempotencyKey key, String bodyHash, int attemptsLeft) {
        return Mono.defer(() -> {
            String claim = self + "/" + UUID.randomUUID();
            List<InstanceId> replicas = selectReplicas(key);
            ClaimMessage.GrantRequest ask =
                    new ClaimMessage.GrantRequest(key.id(), key.mintedAt(), claim, bodyHash, self);
            long deadline = ticker.millis() + CLAIM_TIMEOUT.toMillis();
            return Flux.fromIterable(replicas)
                    .flatMap(r -> requestGrant(r, ask))
                    .collectList()
                    .flatMap(answers -> decide(key, ask, replicas, answers, deadline, attemptsLeft));
        });
    }

    /**
     * Completes a claim at all its replicas.
     *
     * @param key the key
     * @param claim the id of the claim
     * @param verdict the outcome of the request
     * @param answer the complete answer; null if there is none
     * @return completes without error; replicas that could not be reached still record the claim as running
     */
    public Mono<Void> complete(IdempotencyKey key, String claim, Verdict verdict, StoredAnswer answer) {
        ClaimMessage.CompletionRequest settle = new ClaimMessage.CompletionRequest(key.id(), claim, verdict, answer);
        return Flux.fromIterable(selectReplicas(key))
                .flatMap(r -> completeAt(r, settle))
                .then();
    }

    /** Selects from the configured entries, not the live ones, so that the replicas of a key never change. */
    private List<InstanceId> selectReplicas(IdempotencyKey key) {
        Set<InstanceId> all = new TreeSet<>(peers.otherEntries());
        all.add(self);
        List<InstanceId> ranked = key.rankByHash(all);
        return ranked.subList(0, Math.min(REPLICAS, ranked.size()));
    }

    private Mono<GrantReply> requestGrant(InstanceId replica, ClaimMessage.GrantRequest ask) {
        if (replica.equals(self)) {
            return Mono.fromSupplier(() -> store.requestGrant(ask));
        }
        return peers.call(replica, ask, CLAIM_TIMEOUT).cast(GrantReply.class).onErrorResume(e -> Mono.empty());
    }

    private Mono<Void> completeAt(InstanceId replica, ClaimMessage.CompletionRequest settle) {
        if (replica.equals(self)) {
            return Mono.fromRunnable(() -> store.complete(settle));
        }
        return peers.call(replica, settle, COMPLETION_TIMEOUT).then().onErrorResume(e -> Mono.empty());
    }

    private Mono<ClaimDecision> decide(
            IdempotencyKey key,
            ClaimMessage.GrantRequest ask,
            List<InstanceId> replicas,
            List<GrantReply> answers,
            long deadline,
            int attemptsLeft) {
        int quorum = replicas.size() / 2 + 1;
        int grantedComplete = 0;
        int granted = 0;
        List<ClaimRecord> existing = new ArrayList<>();
        for (GrantReply a : answers) {
            grantedComplete += a.kind() == GrantReply.Kind.GRANTED ? 1 : 0;
            granted += a.kind() == GrantReply.Kind.GRANTED || a.kind() == GrantReply.Kind.GRANTED_UNSURE ? 1 : 0;
            if (a.kind() == GrantReply.Kind.KNOWN) {
                existing.add(a.known());
            }
        }
        // After a long pause of this process, the replicas may have dropped the grants since they answered.
        boolean late = ticker.millis() > deadline + CLAIM_TIMEOUT.toMillis();
        if (grantedComplete >= quorum && !late) {
            return Mono.just(new ClaimDecision.Owned(ask.claim()));
        }
        Mono<ClaimDecision> outcome = isSplit(existing, quorum) && attemptsLeft > 1
                ? Mono.delay(randomBackoff()).then(claim(key, ask.bodyHash(), attemptsLeft - 1))
                : resolveNotOwned(ask, existing, granted >= quorum && !late);
        return complete(key, ask.claim(), Verdict.NOT_RUN, null).then(outcome);
    }

    /** Returns whether concurrent claims split the replicas so that none has a quorum; each releases its grants and retries. */
    private static boolean isSplit(List<ClaimRecord> existing, int quorum) {
        for (ClaimRecord r : existing) {
            long same =
                    existing.stream().filter(k -> k.claim().equals(r.claim())).count();
            if (r.ended() || same >= quorum) {
                return false;
            }
        }
        return !existing.isEmpty();
    }

    private static Duration randomBackoff() {
        return Duration.ofMillis(ThreadLocalRandom.current().nextLong(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS));
    }

    private Mono<ClaimDecision> resolveNotOwned(
            ClaimMessage.GrantRequest ask, List<ClaimRecord> existing, boolean historyIncomplete) {
        if (!existing.isEmpty()) {
            return resolveExisting(ask, mostAdvanced(existing));
        }
        if (historyIncomplete) {
            return refuse(
                    ProblemType.OUTCOME_UNKNOWN,
                    Verdict.MAY_HAVE_RUN,
                    "entries restarted, and the key may have been used before; retry with a new key issued by hallwall");
        }
        return refuse(
                ProblemType.CLAIM_UNAVAILABLE,
                Verdict.NOT_RUN,
                "fewer than a quorum of the replicas of the key can be reached");
    }

    /** Prefers a record with an answer, then one that has ended, then one that is running. */
    private static ClaimRecord mostAdvanced(List<ClaimRecord> existing) {
        ClaimRecord result = existing.get(0);
        for (ClaimRecord r : existing) {
            boolean better = r.answer() != null && result.answer() == null || r.ended() && !result.ended();
            result = better ? r : result;
        }
        return result;
    }

    private Mono<ClaimDecision> resolveExisting(ClaimMessage.GrantRequest ask, ClaimRecord existing) {
        if (!existing.bodyHash().equals(ask.bodyHash())) {
            return refuse(ProblemType.KEY_REUSED, Verdict.NOT_RUN, "the key was already used with a different request");
        }
        if (existing.answer() != null) {
            return Mono.just(new ClaimDecision.Completed(existing.answer()));
        }
        if (!existing.ended()) {
            return Mono.just(new ClaimDecision.Redirect(existing.owner()));
        }
        String detail = existing.verdict() == Verdict.RAN
                ? "the request ran, but its answer is no longer stored"
                : "the request may have run, and its outcome is unknown";
        return refuse(ProblemType.OUTCOME_UNKNOWN, existing.verdict(), detail);
    }

    private static <T> Mono<T> refuse(ProblemType type, Verdict verdict, String detail) {
        Duration retryAfter =
                verdict == Verdict.NOT_RUN && type != ProblemType.KEY_REUSED ? RETRY_AFTER : Duration.ZERO;
        return Mono.error(new RefusalException(type, verdict, detail, retryAfter));
    }
}
