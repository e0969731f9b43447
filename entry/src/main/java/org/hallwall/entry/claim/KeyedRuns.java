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
 * Runs requests with a key. A run goes on when its caller is gone, and later arrivals of the key attach to it.
 *
 * @param <T> the type of the parts of an answer
 */
public final class KeyedRuns<T> {

    private final InstanceId self;
    private final ClaimCoordinator coordinator;
    private final AnswerForm<T> form;
    private final Map<String, Running<T>> running = new ConcurrentHashMap<>();
    private final Map<String, Mono<KeyedAnswer<T>>> claiming = new ConcurrentHashMap<>();

    /**
     * Creates the runs.
     *
     * @param self this entry
     * @param coordinator claims keys
     * @param form the form of the answers
     */
    public KeyedRuns(InstanceId self, ClaimCoordinator coordinator, AnswerForm<T> form) {
        this.self = self;
        this.coordinator = coordinator;
        this.form = form;
    }

    /**
     * Runs a request with a key, or finds the run or the answer that there is.
     *
     * @param key the key
     * @param bodyHash the hash of the request
     * @param run runs the request
     * @return the answer, the entry to ask instead, or a {@link RefusalException}
     */
    public Mono<KeyedAnswer<T>> run(ClaimKey key, String bodyHash, Supplier<Flux<T>> run) {
        Running<T> here = running.get(key.id());
        if (here != null) {
            return attach(here, bodyHash);
        }
        Mono<KeyedAnswer<T>> own = coordinator
                .claim(key, bodyHash)
                .flatMap(d -> act(d, key, bodyHash, run))
                // Taken out before the outcome is told, so that those who wait for it do not find it again.
                .doOnTerminate(() -> claiming.remove(key.id()))
                .cache();
        Mono<KeyedAnswer<T>> earlier = claiming.putIfAbsent(key.id(), own);
        if (earlier == null) {
            return own;
        }
        // Another arrival of the key is being decided here; what becomes of this one depends on it.
        return earlier.then().onErrorResume(e -> Mono.empty()).then(Mono.defer(() -> run(key, bodyHash, run)));
    }

    private Mono<KeyedAnswer<T>> act(ClaimDecision d, ClaimKey key, String bodyHash, Supplier<Flux<T>> run) {
        if (d instanceof ClaimDecision.Owned owned) {
            return Mono.just(begin(key, owned.claim(), bodyHash, run));
        }
        if (d instanceof ClaimDecision.Stored stored) {
            return Mono.just(new KeyedAnswer<>(form.restore(stored.answer()), null));
        }
        return elsewhere(key, bodyHash, ((ClaimDecision.Elsewhere) d).owner());
    }

    /**
     * Counts the runs in progress.
     *
     * @return how many
     */
    public int size() {
        return running.size();
    }

    private Mono<KeyedAnswer<T>> elsewhere(ClaimKey key, String bodyHash, InstanceId owner) {
        if (!owner.equals(self)) {
            return Mono.just(new KeyedAnswer<>(null, owner));
        }
        Running<T> here = running.get(key.id());
        if (here != null) {
            return attach(here, bodyHash);
        }
        // Claimed by an earlier life of this process, or ended here without a keeper learning how.
        return Mono.error(new RefusalException(
                ProblemType.OUTCOME_UNKNOWN,
                Verdict.MAY_HAVE_RUN,
                "the entry that ran the request has restarted",
                Duration.ZERO));
    }

    private Mono<KeyedAnswer<T>> attach(Running<T> here, String bodyHash) {
        if (!here.bodyHash.equals(bodyHash)) {
            return Mono.error(new RefusalException(ProblemType.KEY_REUSED, "the key was used with another request"));
        }
        return Mono.just(new KeyedAnswer<>(here.parts(), null));
    }

    private KeyedAnswer<T> begin(ClaimKey key, String claim, String bodyHash, Supplier<Flux<T>> run) {
        Running<T> fresh = new Running<>(bodyHash);
        running.put(key.id(), fresh);
        List<T> parts = new ArrayList<>();
        run.get()
                .doOnNext(parts::add)
                .concatMap(part -> form.isLast(part) ? settled(key, claim, parts, part) : Mono.just(part))
                .onErrorResume(e -> failed(key, claim, e))
                .doFinally(end -> running.remove(key.id()))
                .subscribe(fresh::next, fresh::error, fresh::complete);
        return new KeyedAnswer<>(fresh.parts(), null);
    }

    /** The keepers get the answer before the caller gets its last part, so that a resend finds it. */
    private Mono<T> settled(ClaimKey key, String claim, List<T> parts, T last) {
        return coordinator.settle(key, claim, Verdict.RAN, form.store(parts)).thenReturn(last);
    }

    private Mono<T> failed(ClaimKey key, String claim, Throwable e) {
        Verdict verdict = e instanceof RefusalException r ? r.verdict() : Verdict.MAY_HAVE_RUN;
        return coordinator.settle(key, claim, verdict, null).then(Mono.error(e));
    }

    /** A run in progress; everything it has given so far is given again to whoever attaches. */
    private static final class Running<T> {

        private final String bodyHash;
        private final Sinks.Many<T> sink = Sinks.many().replay().all();

        Running(String bodyHash) {
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
