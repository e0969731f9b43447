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
import org.hallwall.entry.claim.ClaimMessage.Answer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Claims keys for this entry at the entries that keep them. */
public final class ClaimCoordinator {

    private static final int KEEPERS = 3;
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(400);
    private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(400);
    private static final Duration COME_BACK = Duration.ofSeconds(1);
    private static final int MOST_TRIES = 5;
    private static final long LEAST_PAUSE_MILLIS = 10;
    private static final long MOST_PAUSE_MILLIS = 80;

    private final InstanceId self;
    private final ClaimStore store;
    private final ClaimPeers peers;
    private final Ticker ticker;

    /**
     * Creates the coordinator.
     *
     * @param self this entry
     * @param store the claims kept here
     * @param peers the other entries of the failure domain
     * @param ticker the clock
     */
    public ClaimCoordinator(InstanceId self, ClaimStore store, ClaimPeers peers, Ticker ticker) {
        this.self = self;
        this.store = store;
        this.peers = peers;
        this.ticker = ticker;
    }

    /**
     * Claims a key.
     *
     * @param key the key
     * @param bodyHash the hash of the request
     * @return the decision, or a {@link RefusalException}; nothing has been dispatched
     */
    public Mono<ClaimDecision> claim(ClaimKey key, String bodyHash) {
        return claim(key, bodyHash, MOST_TRIES);
    }

    private Mono<ClaimDecision> claim(ClaimKey key, String bodyHash, int triesLeft) {
        return Mono.defer(() -> {
            String claim = self + "/" + UUID.randomUUID();
            List<InstanceId> keepers = keepers(key);
            ClaimMessage.Ask ask = new ClaimMessage.Ask(key.id(), key.mintedAt(), claim, bodyHash, self);
            long until = ticker.millis() + ASK_TIMEOUT.toMillis();
            return Flux.fromIterable(keepers)
                    .flatMap(k -> ask(k, ask))
                    .collectList()
                    .flatMap(answers -> decide(key, ask, keepers, answers, until, triesLeft));
        });
    }

    /**
     * Ends a claim at all its keepers.
     *
     * @param key the key
     * @param claim the id of the claim
     * @param verdict how the request ended
     * @param answer the whole answer; null if there is none
     * @return the end of the call; it does not fail, as the keepers that were not reached keep the claim as running
     */
    public Mono<Void> settle(ClaimKey key, String claim, Verdict verdict, StoredAnswer answer) {
        ClaimMessage.Settle settle = new ClaimMessage.Settle(key.id(), claim, verdict, answer);
        return Flux.fromIterable(keepers(key)).flatMap(k -> settleAt(k, settle)).then();
    }

    /** The keepers are picked from the configured entries, not from the live ones, so they never change hands. */
    private List<InstanceId> keepers(ClaimKey key) {
        Set<InstanceId> all = new TreeSet<>(peers.others());
        all.add(self);
        List<InstanceId> ranked = key.ranked(all);
        return ranked.subList(0, Math.min(KEEPERS, ranked.size()));
    }

    private Mono<Answer> ask(InstanceId keeper, ClaimMessage.Ask ask) {
        if (keeper.equals(self)) {
            return Mono.fromSupplier(() -> store.ask(ask));
        }
        return peers.call(keeper, ask, ASK_TIMEOUT).cast(Answer.class).onErrorResume(e -> Mono.empty());
    }

    private Mono<Void> settleAt(InstanceId keeper, ClaimMessage.Settle settle) {
        if (keeper.equals(self)) {
            return Mono.fromRunnable(() -> store.settle(settle));
        }
        return peers.call(keeper, settle, SETTLE_TIMEOUT).then().onErrorResume(e -> Mono.empty());
    }

    private Mono<ClaimDecision> decide(
            ClaimKey key,
            ClaimMessage.Ask ask,
            List<InstanceId> keepers,
            List<Answer> answers,
            long until,
            int triesLeft) {
        int quorum = keepers.size() / 2 + 1;
        int sure = 0;
        int granted = 0;
        List<ClaimRecord> known = new ArrayList<>();
        for (Answer a : answers) {
            sure += a.kind() == Answer.Kind.GRANTED ? 1 : 0;
            granted += a.kind() == Answer.Kind.GRANTED || a.kind() == Answer.Kind.GRANTED_UNSURE ? 1 : 0;
            if (a.kind() == Answer.Kind.KNOWN) {
                known.add(a.known());
            }
        }
        // A process that was frozen while it waited must not count grants that may have been forgotten since.
        boolean late = ticker.millis() > until + ASK_TIMEOUT.toMillis();
        if (sure >= quorum && !late) {
            return Mono.just(new ClaimDecision.Owned(ask.claim()));
        }
        Mono<ClaimDecision> outcome = isUndecided(known, quorum) && triesLeft > 1
                ? Mono.delay(randomPause()).then(claim(key, ask.bodyHash(), triesLeft - 1))
                : notOwned(ask, known, granted >= quorum && !late);
        return settle(key, ask.claim(), Verdict.NOT_RUN, null).then(outcome);
    }

    /** Several arrivals may have split the keepers; each has given its grants back, and one will win the next try. */
    private static boolean isUndecided(List<ClaimRecord> known, int quorum) {
        for (ClaimRecord r : known) {
            long same = known.stream().filter(k -> k.claim().equals(r.claim())).count();
            if (r.ended() || same >= quorum) {
                return false;
            }
        }
        return !known.isEmpty();
    }

    private static Duration randomPause() {
        return Duration.ofMillis(ThreadLocalRandom.current().nextLong(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS));
    }

    private Mono<ClaimDecision> notOwned(ClaimMessage.Ask ask, List<ClaimRecord> known, boolean unsure) {
        if (!known.isEmpty()) {
            return fromKnown(ask, mostTelling(known));
        }
        if (unsure) {
            return refuse(
                    ProblemType.OUTCOME_UNKNOWN,
                    Verdict.MAY_HAVE_RUN,
                    "entries were lost, and the key may have been used before; a new key made by hallwall is safe");
        }
        return refuse(
                ProblemType.CLAIM_UNAVAILABLE, Verdict.NOT_RUN, "too few entries that keep the key can be reached");
    }

    /** An ended record tells more than a running one, and one with an answer tells most. */
    private static ClaimRecord mostTelling(List<ClaimRecord> known) {
        ClaimRecord best = known.get(0);
        for (ClaimRecord r : known) {
            boolean better = r.answer() != null && best.answer() == null || r.ended() && !best.ended();
            best = better ? r : best;
        }
        return best;
    }

    private Mono<ClaimDecision> fromKnown(ClaimMessage.Ask ask, ClaimRecord known) {
        if (!known.bodyHash().equals(ask.bodyHash())) {
            return refuse(ProblemType.KEY_REUSED, Verdict.NOT_RUN, "the key was used with another request");
        }
        if (known.answer() != null) {
            return Mono.just(new ClaimDecision.Stored(known.answer()));
        }
        if (!known.ended()) {
            return Mono.just(new ClaimDecision.Elsewhere(known.owner()));
        }
        String detail = known.verdict() == Verdict.RAN
                ? "the request ran, but its answer is no longer kept"
                : "the request may have run, and its outcome is unknown";
        return refuse(ProblemType.OUTCOME_UNKNOWN, known.verdict(), detail);
    }

    private static <T> Mono<T> refuse(ProblemType type, Verdict verdict, String detail) {
        Duration wait = verdict == Verdict.NOT_RUN && type != ProblemType.KEY_REUSED ? COME_BACK : Duration.ZERO;
        return Mono.error(new RefusalException(type, verdict, detail, wait));
    }
}
