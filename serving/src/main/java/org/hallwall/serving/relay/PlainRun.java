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
package org.hallwall.serving.relay;

import java.time.Duration;

import org.hallwall.core.verdict.Verdict;
import reactor.core.publisher.Mono;

/** Runs one request whose answer is sent only once it is whole. */
final class PlainRun {

    /** The part of the latency objective after which a repeatable request is tried elsewhere. */
    private static final double PATIENCE = 0.8;

    private static final long LEAST_PATIENCE_MILLIS = 60;

    private final RelayContext context;
    private final RelayRequest request;
    private final Attempts attempts;
    private WholeAnswer failed;

    PlainRun(RelayContext context, RelayRequest request) {
        this.context = context;
        this.request = request;
        this.attempts = new Attempts(context, request);
    }

    /** Gives the answer or a {@link RelayRefusal}. */
    Mono<WholeAnswer> start() {
        return Mono.defer(this::attempt);
    }

    private Mono<WholeAnswer> attempt() {
        long now = context.now();
        long left = request.deadlineAt() - now;
        if (left <= 0) {
            return end("its time is over");
        }
        ServingTarget target = attempts.next();
        if (target == null) {
            return end(context.candidates().describe(request));
        }
        TargetState state = context.balancer().state(target);
        state.begin();
        return context.client()
                .send(
                        target,
                        request,
                        null,
                        left,
                        (head, body) -> body.aggregate()
                                .asByteArray()
                                .defaultIfEmpty(new byte[0])
                                .map(bytes -> new WholeAnswer(
                                        head.status().code(), context.headers().answer(head.responseHeaders()), bytes)))
                .next()
                .switchIfEmpty(Mono.error(new AttemptFailure(Verdict.MAY_HAVE_RUN, "the answer ended early")))
                .timeout(Duration.ofMillis(patience(left)))
                .onErrorMap(e -> e instanceof AttemptFailure ? e : AttemptFailure.left("no answer in time"))
                .doOnCancel(() -> attempts.left(target))
                .doFinally(s -> state.end())
                .flatMap(a -> judge(state, a))
                .onErrorResume(AttemptFailure.class, f -> again(target, f));
    }

    /** A request that may be repeated is not left with a target that does not answer. */
    private long patience(long left) {
        if (!attempts.mayRunAgain()) {
            return left;
        }
        long patience = (long) (request.route().objectiveMillis() * PATIENCE);
        return Math.min(left, Math.max(LEAST_PATIENCE_MILLIS, patience));
    }

    private Mono<WholeAnswer> judge(TargetState state, WholeAnswer answer) {
        attempts.survived();
        if (!answer.isFailure()) {
            state.succeeded();
            context.counters().attempt("answered");
            return Mono.just(answer);
        }
        failed = answer;
        return Mono.error(new AttemptFailure(Verdict.RAN, "the target failed with " + answer.status()));
    }

    private Mono<WholeAnswer> again(ServingTarget target, AttemptFailure f) {
        return attempts.failed(target, f, 0, false).isSent() ? Mono.defer(this::attempt) : end(f.getMessage());
    }

    private Mono<WholeAnswer> end(String reason) {
        if (failed != null) {
            return Mono.just(failed);
        }
        Verdict verdict = attempts.verdict();
        if (verdict != Verdict.NOT_RUN && context.now() >= request.deadlineAt()) {
            return Mono.error(new RelayRefusal(504, verdict, reason, 0));
        }
        return Mono.error(
                RelayRefusal.after(verdict, reason, context.candidates().retryAfterMillis(request)));
    }
}
