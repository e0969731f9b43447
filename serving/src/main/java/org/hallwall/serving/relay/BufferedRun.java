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

import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.ResponseProgress;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

/** Relays one request whose response is forwarded only when it is complete. */
final class BufferedRun {

    /** Fraction of the latency objective after which a retryable request is sent to another target. */
    private static final double ATTEMPT_TIMEOUT_FACTOR = 0.8;

    private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 60;
    /** Attempt timeouts after which another entry is abandoned; it may repeat attempts that have not run. */
    private static final long ENTRY_TIMEOUT_FACTOR = 2;

    private final RelayContext context;
    private final RelayRequest request;
    private final Attempts attempts;
    private BufferedResponse failedResponse;
    private ResponseProgress progress = ResponseProgress.NONE;

    BufferedRun(RelayContext context, RelayRequest request) {
        this.context = context;
        this.request = request;
        this.attempts = new Attempts(context, request);
    }

    /** Starts the request; emits the response or a {@link RelayRefusal}. */
    Mono<BufferedResponse> start() {
        return Mono.defer(this::startAttempt);
    }

    private Mono<BufferedResponse> startAttempt() {
        long now = context.now();
        long remainingMillis = request.deadlineAt() - now;
        if (remainingMillis <= 0) {
            return fail("the deadline has passed");
        }
        NextHop hop = attempts.nextHop();
        if (hop == null) {
            return fail(attempts.describeNoHop());
        }
        TargetState state = hop.state();
        state.requestStarted();
        progress = ResponseProgress.NONE;
        return hop.send(request, null, attempts.history(), (head, body) -> readResponse(hop, head, body))
                .next()
                .switchIfEmpty(Mono.error(new AttemptFailure(Verdict.MAY_HAVE_RUN, "the response ended prematurely")))
                .timeout(Duration.ofMillis(attemptTimeoutMillis(hop, remainingMillis)))
                .onErrorMap(e -> e instanceof AttemptFailure
                        ? e
                        : AttemptFailure.abandoned("no response within the attempt timeout"))
                .doOnCancel(() -> attempts.markAbandoned(hop, progress))
                .doFinally(s -> state.requestEnded())
                .flatMap(a -> checkResponse(state, a))
                .onErrorResume(AttemptFailure.class, f -> retryOrFail(hop, f));
    }

    private Mono<BufferedResponse> readResponse(NextHop hop, HttpClientResponse head, ByteBufFlux body) {
        progress = ResponseProgress.BEGUN;
        HttpHeaders headers = context.forwardedHeaders().forResponse(head.responseHeaders());
        attempts.writeHistory(headers, hop, head.status().code());
        return body.aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .map(bytes -> new BufferedResponse(head.status().code(), headers, bytes));
    }

    /** Returns the timeout of the attempt; shorter than the deadline if the request can be retried. */
    private long attemptTimeoutMillis(NextHop hop, long remainingMillis) {
        if (!attempts.mayRetry()) {
            return remainingMillis;
        }
        long timeoutMillis = (long) (request.route().latencyObjectiveMillis() * ATTEMPT_TIMEOUT_FACTOR);
        long factor = hop.isEntry() ? ENTRY_TIMEOUT_FACTOR : 1;
        return Math.min(remainingMillis, factor * Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, timeoutMillis));
    }

    private Mono<BufferedResponse> checkResponse(TargetState state, BufferedResponse response) {
        attempts.markAnswered();
        if (response.isSuccess()) {
            attempts.markEstablished();
        }
        if (!response.isFailure()) {
            state.recordSuccess();
            context.metrics().countAttempt("answered");
            return Mono.just(response);
        }
        failedResponse = response;
        return Mono.error(new AttemptFailure(Verdict.RAN, "the target responded with status " + response.status()));
    }

    private Mono<BufferedResponse> retryOrFail(NextHop hop, AttemptFailure f) {
        return attempts.recordFailure(hop, f, progress, 0, false).isRetry()
                ? Mono.defer(this::startAttempt)
                : fail(f.getMessage());
    }

    private Mono<BufferedResponse> fail(String reason) {
        return failedResponse != null ? Mono.just(failedResponse) : Mono.error(attempts.toRefusal(reason));
    }
}
