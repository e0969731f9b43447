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

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.Verdict;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Relays one request whose response is forwarded only when it is complete. If a target is late, a hedged attempt at another one is
 * started, and the first complete response that is no server error is returned. Confined to one I/O thread.
 */
final class BufferedRun implements BufferedAttempt.Listener {

    private static final Logger LOG = Logger.getLogger(BufferedRun.class);
    /** Fraction of the latency objective after which a retryable request is also sent to another target. */
    private static final double HEDGE_DELAY_FACTOR = 0.8;

    private static final long MIN_HEDGE_DELAY_MILLIS = 60;
    /** Factor of the delay for another entry; it may repeat attempts that have not run. */
    private static final long ENTRY_DELAY_FACTOR = 2;
    /** Time between two checks whether a hedged attempt can be started, in milliseconds. */
    private static final long HEDGE_RETRY_MILLIS = 100;

    private final RelayContext context;
    private final RelayRequest request;
    private final EventLoop loop;
    private final BodyMemory.Reservation memory;
    private final Attempts attempts;
    private final Sinks.One<BufferedResponse> result = Sinks.one();
    private BufferedAttempt primary;
    private BufferedAttempt hedge;
    private BufferedResponse failedResponse;
    private NextHop failedHop;
    private ScheduledFuture<?> hedgeTimer;
    private ScheduledFuture<?> deadlineTimer;
    private boolean done;

    BufferedRun(RelayContext context, RelayRequest request, EventLoop loop, BodyMemory.Reservation memory) {
        this.context = context;
        this.request = request;
        this.loop = loop;
        this.memory = memory;
        this.attempts = new Attempts(context, request);
    }

    /** Starts the request; emits the response or a {@link RelayRefusal}. */
    Mono<BufferedResponse> start() {
        loop.execute(() -> runGuarded(() -> {
            if (!done) {
                long remainingMillis = Math.max(0, request.deadlineAt() - context.now());
                deadlineTimer = schedule(this::onDeadline, remainingMillis);
                startAttempt();
            }
        }));
        return result.asMono().doOnCancel(this::cancel);
    }

    private ScheduledFuture<?> schedule(Runnable step, long delayMillis) {
        return loop.schedule(() -> runGuarded(step), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step; an unexpected error ends the request instead of leaving it without a response. */
    @Override
    public void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "request %s: unexpected error", request.attemptId());
            try {
                cancelAttempts();
                finish();
            } finally {
                result.tryEmitError(ErrorSignals.toSignal(e));
            }
        }
    }

    private void cancelAttempts() {
        if (primary != null) {
            primary.cancel();
        }
        if (hedge != null) {
            hedge.cancel();
        }
    }

    private void startAttempt() {
        if (context.now() >= request.deadlineAt()) {
            fail("the deadline has passed");
            return;
        }
        NextHop hop = attempts.nextHop();
        if (hop == null) {
            fail(attempts.describeNoHop());
            return;
        }
        primary = new BufferedAttempt(hop, this, context.now(), memory.openResponse());
        primary.start(request, attempts.historyBefore(hop));
        if (!done && primary.hop() == hop) {
            scheduleHedge(hedgeDelayMillis(hop));
        }
    }

    private long hedgeDelayMillis(NextHop hop) {
        long delayMillis = (long) (request.route().latencyObjectiveMillis() * HEDGE_DELAY_FACTOR);
        return Math.max(MIN_HEDGE_DELAY_MILLIS, delayMillis) * (hop.isEntry() ? ENTRY_DELAY_FACTOR : 1);
    }

    private void scheduleHedge(long delayMillis) {
        cancel(hedgeTimer);
        hedgeTimer = schedule(this::startHedge, delayMillis);
    }

    private void startHedge() {
        if (done || primary == null || hedge != null || !attempts.mayRetry()) {
            return;
        }
        NextHop hop = attempts.nextHedge(context.now(), false);
        if (hop == null) {
            scheduleHedge(HEDGE_RETRY_MILLIS);
            return;
        }
        LOG.infof(
                "request %s: no response from %s after %d ms; second attempt at %s",
                request.attemptId(),
                primary.hop().target().instance(),
                context.now() - primary.startedAt(),
                hop.target().instance());
        // new requests avoid the late target meanwhile
        primary.hop().state().recordStall(context.now());
        hedge = new BufferedAttempt(hop, this, context.now(), memory.openResponse());
        hedge.start(request, attempts.historyBefore(hop));
    }

    private void onDeadline() {
        if (!done) {
            abandonAll();
            fail("no response before the deadline");
        }
    }

    /** Ends the request because the entry is shutting down. */
    void shutDown() {
        loop.execute(() -> runGuarded(() -> {
            if (!done) {
                abandonAll();
                attempts.logShutdown();
                fail(Shutdown.REASON);
            }
        }));
    }

    /** Cancels the request because the client has disconnected. */
    private void cancel() {
        if (!done) {
            LOG.infof(
                    "request %s: client disconnected after %d ms",
                    request.attemptId(), context.now() - request.receivedAt());
            abandonAll();
            finish();
        }
    }

    @Override
    public HttpHeaders onHead(BufferedAttempt a, HttpClientResponse response) {
        HttpHeaders out = context.forwardedHeaders().forResponse(response.responseHeaders());
        a.hop().connection().recordKeepAlive(response.isKeepAlive());
        attempts.markStarted(a.hop());
        attempts.writeHistory(out, a.hop(), response.status().code());
        return out;
    }

    @Override
    public void onResponse(BufferedAttempt a, BufferedResponse response) {
        attempts.recordResponse(a.hop());
        attempts.markAnswered(a.hop());
        if (response.body().length > 0 && !BufferedResponse.mayHaveBody(response.status())) {
            onFailure(a, new AttemptFailure(Verdict.RAN, "the response has a body, status " + response.status()));
            return;
        }
        if (response.isFailure() || other(a) != null && !response.isSuccess()) {
            failedResponse = response;
            failedHop = a.hop();
            onFailure(a, new AttemptFailure(Verdict.RAN, "the target responded with status " + response.status()));
            return;
        }
        if (response.isSuccess()) {
            attempts.markEstablished(a.hop());
        }
        a.hop().state().recordSuccess();
        context.metrics().countAttempt("answered");
        BufferedAttempt loser = other(a);
        if (loser != null) {
            loser.cancel();
            attempts.recordSuperseded(loser.hop(), loser.progress());
        }
        finish();
        attempts.logResponse(a.hop(), response.status(), response.body().length);
        result.tryEmitValue(response);
    }

    @Override
    public void onFailure(BufferedAttempt a, AttemptFailure f) {
        primary = other(a);
        hedge = null;
        boolean retry = attempts.recordFailure(a.hop(), f, a.progress(), 0).isRetry();
        if (primary != null) {
            scheduleHedge(HEDGE_RETRY_MILLIS);
        } else if (retry) {
            startAttempt();
        } else {
            fail(f.getMessage());
        }
    }

    private BufferedAttempt other(BufferedAttempt a) {
        return a == primary ? hedge : primary;
    }

    /** Returns the last error response of a target, if there is one, and a refusal otherwise. */
    private void fail(String reason) {
        finish();
        if (failedResponse != null) {
            attempts.logResponse(failedHop, failedResponse.status(), failedResponse.body().length);
            result.tryEmitValue(failedResponse);
        } else {
            result.tryEmitError(attempts.toRefusal(reason));
        }
    }

    private void abandonAll() {
        abandon(primary);
        abandon(hedge);
    }

    private void abandon(BufferedAttempt a) {
        if (a != null) {
            a.cancel();
            attempts.abandon(a.hop(), a.progress());
        }
    }

    private void finish() {
        done = true;
        attempts.finish();
        cancel(hedgeTimer);
        cancel(deadlineTimer);
        primary = null;
        hedge = null;
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
