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
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Runs requests with an idempotency key. A run continues after its caller disconnects, and retries of the caller attach
 * to it.
 *
 * @param <T> the type of the parts of an answer
 */
public final class IdempotentRunner<T> {

    private final InstanceId self;
    private final ClaimCoordinator coordinator;
    private final AnswerCodec<T> codec;
    private final Map<String, ActiveRun<T>> runsByKey = new ConcurrentHashMap<>();
    private final Map<String, Mono<IdempotentAnswer<T>>> pendingClaims = new ConcurrentHashMap<>();

    /**
     * Creates the runner.
     *
     * @param self the id of this entry
     * @param coordinator claims keys
     * @param codec converts answers to their stored form and back
     */
    public IdempotentRunner(InstanceId self, ClaimCoordinator coordinator, AnswerCodec<T> codec) {
        this.self = self;
        this.coordinator = coordinator;
        this.codec = codec;
    }

    /**
     * Runs a request, or attaches to its existing run or stored answer.
     *
     * @param key the key
     * @param bodyHash the hash of the request
     * @param run starts the request
     * @return the answer, the entry to forward to, or a {@link RefusalException}
     */
    public Mono<IdempotentAnswer<T>> run(IdempotencyKey key, String bodyHash, Supplier<Flux<T>> run) {
        ActiveRun<T> active = runsByKey.get(key.id());
        if (active != null) {
            return attach(active, bodyHash);
        }
        Mono<IdempotentAnswer<T>> pending = coordinator
                .claim(key, bodyHash)
                .flatMap(d -> applyDecision(d, key, bodyHash, run))
                // Removed before the result is emitted, so that a waiting duplicate does not find this claim again.
                .doOnTerminate(() -> pendingClaims.remove(key.id()))
                .cache();
        Mono<IdempotentAnswer<T>> earlier = pendingClaims.putIfAbsent(key.id(), pending);
        if (earlier == null) {
            return pending;
        }
        // A duplicate request is already claiming the key on this entry: retry once that claim is decided.
        return earlier.then().onErrorResume(e -> Mono.empty()).then(Mono.defer(() -> run(key, bodyHash, run)));
    }

    private Mono<IdempotentAnswer<T>> applyDecision(
            ClaimDecision d, IdempotencyKey key, String bodyHash, Supplier<Flux<T>> run) {
        if (d instanceof ClaimDecision.Owned owned) {
            return Mono.just(startRun(key, owned.claim(), bodyHash, run));
        }
        if (d instanceof ClaimDecision.Completed stored) {
            return Mono.just(new IdempotentAnswer<>(codec.decode(stored.answer()), null));
        }
        return resolveRedirect(key, bodyHash, ((ClaimDecision.Redirect) d).owner());
    }

    /**
     * Returns the number of active runs.
     *
     * @return the number of runs
     */
    public int size() {
        return runsByKey.size();
    }

    private Mono<IdempotentAnswer<T>> resolveRedirect(IdempotencyKey key, String bodyHash, InstanceId owner) {
        if (!owner.equals(self)) {
            return Mono.just(new IdempotentAnswer<>(null, owner));
        }
        ActiveRun<T> active = runsByKey.get(key.id());
        if (active != null) {
            return attach(active, bodyHash);
        }
        // Claimed before this process restarted, or ended here without reaching a replica.
        return Mono.error(new RefusalException(
                ProblemType.OUTCOME_UNKNOWN,
                Verdict.MAY_HAVE_RUN,
                "the entry that ran the request has restarted, and the outcome is unknown",
                Duration.ZERO));
    }

    private Mono<IdempotentAnswer<T>> attach(ActiveRun<T> active, String bodyHash) {
        if (!active.bodyHash.equals(bodyHash)) {
            return Mono.error(
                    new RefusalException(ProblemType.KEY_REUSED, "the key was already used with a different request"));
        }
        return Mono.just(new IdempotentAnswer<>(active.parts(), null));
    }

    private IdempotentAnswer<T> startRun(IdempotencyKey key, String claim, String bodyHash, Supplier<Flux<T>> run) {
        ActiveRun<T> created = new ActiveRun<>(bodyHash);
        runsByKey.put(key.id(), created);
        List<T> parts = new ArrayList<>();
        run.get()
                .doOnNext(parts::add)
                .concatMap(part -> codec.isLast(part) ? completeBeforeLast(key, claim, parts, part) : Mono.just(part))
                .onErrorResume(e -> completeWithError(key, claim, e))
                .doFinally(end -> runsByKey.remove(key.id()))
                .subscribe(created::next, created::error, created::complete);
        return new IdempotentAnswer<>(created.parts(), null);
    }

    /** Stores the answer at the replicas before the caller gets the last part, so that a retry finds it. */
    private Mono<T> completeBeforeLast(IdempotencyKey key, String claim, List<T> parts, T last) {
        return coordinator
                .complete(key, claim, Verdict.RAN, codec.encode(parts))
                .thenReturn(last);
    }

    private Mono<T> completeWithError(IdempotencyKey key, String claim, Throwable e) {
        Verdict verdict = e instanceof RefusalException r ? r.verdict() : Verdict.MAY_HAVE_RUN;
        return coordinator.complete(key, claim, verdict, null).then(Mono.error(e));
    }

    /** An active run; replays all parts so far to each new subscriber. */
    private static final class ActiveRun<T> {

        private final String bodyHash;
        private final Sinks.Many<T> sink = Sinks.many().replay().all();

        ActiveRun(String bodyHash) {
            this.bodyHash = bodyHash;
        }

        Flux<T> parts() {
            return sink.asFlux();
        }

        void next(T part) {
            sink.tryEmitNext(part);
        }

        void error(Throwable e) {
            sink.tryEmitError(e);
        }

        void complete() {
            sink.tryEmitComplete();
        }
    }
}
