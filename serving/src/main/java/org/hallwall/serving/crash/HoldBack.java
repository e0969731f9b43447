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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Decides which requests are held back, and requests trials of them. Not thread-safe. */
final class HoldBack {

    /** The shortest retry delay of a held request; covers most leader elections and short partitions. */
    private static final long MIN_RETRY_MILLIS = 10_000;

    private final SuspectView suspects;
    private final AnswerHistory answers;
    private final CrashPeers peers;
    private final Executor io;
    private final Ticker ticker;
    private final Map<Fingerprint, Long> nextTrialRequestAt = new HashMap<>();

    HoldBack(SuspectView suspects, AnswerHistory answers, CrashPeers peers, Executor io, Ticker ticker) {
        this.suspects = suspects;
        this.answers = answers;
        this.peers = peers;
        this.io = io;
        this.ticker = ticker;
    }

    /** Returns whether a request is held back; see {@link CrashWatch#isHeld}. */
    boolean isHeld(RequestFeatures features, Set<InstanceId> brokenOffBy, Set<InstanceId> brokenOffAtStart) {
        return features != null
                && (isHeld(features.request(), brokenOffBy)
                        || features.promptParts().stream().anyMatch(p -> isHeld(p, brokenOffAtStart)));
    }

    /** Only the log holds proven parts, since this entry has no record of the other parts that account for their crashes. */
    private boolean isHeld(Fingerprint fingerprint, Set<InstanceId> brokenOffBy) {
        return suspects.isHeldByLog(fingerprint)
                || !answers.isProven(fingerprint, ticker.millis()) && suspects.isHeld(fingerprint, brokenOffBy);
    }

    private List<Fingerprint> heldFeatures(RequestFeatures features) {
        return features.all().filter(f -> isHeld(f, Set.of())).toList();
    }

    /** Returns the time until a request may be retried; empty if it may be sent. See {@link CrashWatch#holdBackMillis}. */
    Mono<Long> retryMillis(RequestFeatures features) {
        if (!isHeld(features, Set.of(), Set.of())) {
            return Mono.empty();
        }
        long now = ticker.millis();
        List<Fingerprint> held = heldFeatures(features);
        long remaining = held.stream()
                .mapToLong(f -> nextTrialRequestAt.getOrDefault(f, 0L) - now)
                .max()
                .orElse(0);
        if (remaining > 0) {
            return Mono.just(remaining);
        }
        return Flux.fromIterable(held)
                .concatMap(this::requestTrial)
                .reduce(0L, Math::max)
                .filter(retryMillis -> retryMillis > 0);
    }

    /** Requests a trial; emits zero if it is granted, otherwise the time until the next one may be requested. */
    private Mono<Long> requestTrial(Fingerprint fingerprint) {
        // suppresses concurrent trial requests for the same fingerprint
        nextTrialRequestAt.put(fingerprint, ticker.millis() + MIN_RETRY_MILLIS);
        return peers.requestTrial(fingerprint)
                .defaultIfEmpty(new CrashPeers.TrialDecision(false, MIN_RETRY_MILLIS))
                .publishOn(Schedulers.fromExecutor(io))
                .map(t -> {
                    long retryMillis = Math.max(MIN_RETRY_MILLIS, t.retryMillis());
                    nextTrialRequestAt.put(fingerprint, ticker.millis() + retryMillis);
                    return t.granted() ? 0 : retryMillis;
                });
    }

    /** Drops the trial times of what is no longer held. */
    void forgetReleased() {
        nextTrialRequestAt.keySet().removeIf(f -> !suspects.isHeld(f, Set.of()));
    }

    /** Describes why a request is held back, for logs and error responses. */
    String describe(RequestFeatures features) {
        Fingerprint held = heldFeatures(features).stream().findFirst().orElse(features.request());
        long at = suspects.updatedAt(held);
        String age = at == 0 ? "seen by this entry only" : "last updated here " + (ticker.millis() - at) + " ms ago";
        return "held back as " + held + ": " + new TreeSet<>(suspects.crashedTargets(held, Set.of()))
                + " ended under it and none has survived it, " + age + ", suspects of version " + suspects.version();
    }
}
