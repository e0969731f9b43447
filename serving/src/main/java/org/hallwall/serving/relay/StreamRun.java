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

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.Verdict;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Relays one request with an event stream response. Complete events are forwarded as they arrive. If a target fails, the stream is
 * resumed at another target after the last complete event. If it stalls, a hedged attempt at another target is started, and the stream
 * continues with the attempt that delivers the next event first. Confined to one I/O thread.
 */
final class StreamRun implements StreamAttempt.Listener {

    private static final Logger LOG = Logger.getLogger(StreamRun.class);
    /** Time between a hedged attempt that fails, or for which no target is free, and the next one, in milliseconds; doubles with failures. */
    private static final long MIN_HEDGE_RETRY_MILLIS = 100;

    private final RelayContext context;
    private final RelayRequest request;
    private final AdmissionWindow window;
    private final EventLoop loop;
    private final BodyMemory.Reservation memory;
    private final UnreadEvents unread;
    private final Sinks.One<Head> head = Sinks.one();
    private final Sinks.Many<ByteBuf> events = Sinks.many().unicast().onBackpressureBuffer();
    private final Attempts attempts;
    private final StallPolicy stallPolicy;
    private final StreamProgress progress;
    private final Runnable progressCheck = () -> runGuarded(this::checkProgress);
    private StreamAttempt primary;
    private StreamAttempt hedge;
    private long nextHedgeAt;
    private int failedHedges;
    private boolean headSent;
    private boolean done;
    private int resumptions;

    StreamRun(
            RelayContext context,
            RelayRequest request,
            AdmissionWindow window,
            Channel client,
            BodyMemory.Reservation memory,
            String lastEventId) {
        this.window = window;
        this.context = context;
        this.request = request;
        this.attempts = new Attempts(context, request);
        this.stallPolicy = new StallPolicy(context.forwarder().detector(), context.stalledHeads());
        this.loop = client.eventLoop();
        this.memory = memory;
        this.unread = new UnreadEvents(client, memory.openResponse());
        this.progress = new StreamProgress(lastEventId);
    }

    /** Starts the request; emits the response head or a {@link RelayRefusal}. */
    Mono<Head> start() {
        loop.execute(() -> runGuarded(() -> {
            if (!done) {
                context.streamMonitor().add(loop, progressCheck);
                startAttempt();
            }
        }));
        return head.asMono();
    }

    /** Runs a step; an unexpected error ends the request instead of leaving it without a response. */
    @Override
    public void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "request %s: unexpected error", request.attemptId());
            try {
                finish();
            } finally {
                head.tryEmitError(ErrorSignals.toSignal(e));
                events.tryEmitError(ErrorSignals.toSignal(e));
            }
        }
    }

    /** Returns the events; terminates with an error if the stream cannot be completed. */
    Flux<ByteBuf> events() {
        return unread.track(events.asFlux());
    }

    /** Cancels the request because the client has disconnected. */
    void cancel() {
        if (done) {
            return;
        }
        LOG.infof(
                "request %s: client disconnected after %d ms and %d events",
                request.attemptId(), context.now() - request.receivedAt(), progress.events());
        abandonAll();
        finish();
    }

    /** Ends the request because the entry is shutting down. */
    void shutDown() {
        loop.execute(() -> runGuarded(() -> {
            if (!done) {
                abandonAll();
                attempts.logShutdown();
                abort(Shutdown.REASON);
            }
        }));
    }

    private void startAttempt() {
        if (context.now() >= request.deadlineAt()) {
            abort("the deadline has passed");
            return;
        }
        NextHop hop = attempts.nextHop();
        if (hop == null) {
            abort(attempts.describeNoHop());
            return;
        }
        primary = new StreamAttempt(context, hop, this, memory.openResponse());
        primary.start(request, progress.lastEventId(), attempts.historyBefore(hop));
    }

    private void checkProgress() {
        if (done) {
            return;
        }
        long now = context.now();
        if (now >= request.deadlineAt()) {
            abandonAll();
            abort("the deadline has passed");
            return;
        }
        if (hedge != null) {
            checkHedge(now);
            return;
        }
        if (primary == null || now < nextHedgeAt || !shouldHedge(primary, now)) {
            return;
        }
        if (request.isForwarded()) {
            returnIfLost(primary);
        } else {
            startHedge(now);
        }
    }

    /** Makes room for another hedged attempt if the group of this one is lost too; the first attempt goes on. */
    private void checkHedge(long now) {
        if (shouldHedge(hedge, now) && isKnownLost(hedge)) {
            hedge.fail(AttemptFailure.abandoned("the group has lost a member"));
        }
    }

    /** Returns a stream without events at a lost group to the entry that forwarded it, which decides about another run. */
    private void returnIfLost(StreamAttempt a) {
        if (!headSent && isKnownLost(a) && attempts.mayRetry()) {
            a.fail(AttemptFailure.abandoned("the group has lost a member"));
        }
    }

    private boolean isKnownLost(StreamAttempt a) {
        return !context.state().targets().isStillServing(a.hop().target())
                || stallPolicy.isKnownLost(a.hop(), lastProgressAt(a));
    }

    /** Returns whether an attempt has stalled and is likely lost, or its target has announced that it no longer serves. */
    private boolean shouldHedge(StreamAttempt a, long now) {
        if (!context.state().targets().isStillServing(a.hop().target())) {
            return true;
        }
        long lastProgressAt = lastProgressAt(a);
        StallTimeout timeout =
                StallTimeout.of(request.route(), progress.events() == 0, a.hop().state());
        if (now - lastProgressAt <= timeout.millis()) {
            return false;
        }
        if (!a.hop().isEntry()) {
            context.forwarder().detector().suspectSilence();
        }
        return stallPolicy.shouldHedge(a.hop(), timeout, lastProgressAt, now);
    }

    private long lastProgressAt(StreamAttempt a) {
        return Math.max(
                Math.max(a.startedAt(), progress.deliveredAt()), a.hop().state().lastProgressAt());
    }

    private void startHedge(long now) {
        NextHop hop = attempts.nextHedge(now, isKnownLost(primary));
        if (hop == null) {
            nextHedgeAt = now + MIN_HEDGE_RETRY_MILLIS;
            return;
        }
        LOG.infof(
                "request %s: no event from %s for %d ms after %d events, %s; second attempt at %s",
                request.attemptId(),
                primary.hop().target().instance(),
                now - lastProgressAt(primary),
                progress.events(),
                stallPolicy.describe(primary.hop()),
                hop.target().instance());
        // new requests avoid the stalled target meanwhile
        if (isKnownLost(primary)) {
            primary.hop().state().recordFailure(now);
        } else {
            primary.hop().state().recordStall(now);
        }
        hedge = new StreamAttempt(context, hop, this, memory.openResponse());
        hedge.start(request, progress.lastEventId(), attempts.historyBefore(hop));
    }

    private StreamAttempt other(StreamAttempt a) {
        return a == primary ? hedge : primary;
    }

    /** Continues with one of two attempts and cancels the other one. */
    private void select(StreamAttempt a) {
        StreamAttempt loser = other(a);
        primary = a;
        hedge = null;
        if (loser == null) {
            return;
        }
        loser.cancel();
        attempts.recordSuperseded(loser.hop(), loser.progress());
        resumptions += loser.startedAt() < a.startedAt() ? 1 : 0;
    }

    @Override
    public HttpHeaders onHead(StreamAttempt a, HttpClientResponse response) {
        HttpHeaders out = context.forwardedHeaders().forResponse(response.responseHeaders());
        a.hop().connection().recordKeepAlive(response.isKeepAlive());
        attempts.markStarted(a.hop());
        attempts.writeHistory(out, a.hop(), response.status().code());
        return out;
    }

    @Override
    public void onEvent(StreamAttempt a, EventStreamDecoder.Event e) {
        attempts.recordResponse(a.hop());
        if (a.hasJustEstablished()) {
            attempts.markEstablished(a.hop());
        }
        if (progress.isNext(e)) {
            select(a);
            deliver(a, e);
        } else if (progress.isAfterGap(e)) {
            progress.recordInterruptedEvent(progress.lastId(), e.bytes());
            a.fail(new AttemptFailure(Verdict.RAN, "event " + e.id() + " received after " + progress.lastId()));
        }
    }

    private void deliver(StreamAttempt a, EventStreamDecoder.Event e) {
        if (!unread.tryAdd(e.bytes().length)) {
            disconnectClient();
            return;
        }
        long now = context.now();
        TargetState state = a.hop().state();
        if (progress.events() > 0) {
            state.recordGap(now - Math.max(progress.deliveredAt(), a.startedAt()));
        }
        progress.record(e, now, request.receivedAt());
        attempts.setRepeatable(progress.isResumable());
        if (progress.events() == 1) {
            context.metrics().recordFirstByte(progress.firstEventMillis());
            if (attempts.history().runs() == 0) {
                window.recordFirstEvent(
                        (double) progress.firstEventMillis() / request.route().latencyObjectiveMillis(), now);
            }
        }
        state.recordProgress(now);
        sendHead(a);
        events.tryEmitNext(Unpooled.wrappedBuffer(e.bytes()));
    }

    private void sendHead(StreamAttempt a) {
        if (!headSent) {
            headSent = true;
            context.metrics().countResponse(a.status());
            head.tryEmitValue(new Head(a.status(), a.headers(), null));
        }
    }

    @Override
    public void onWholeResponse(StreamAttempt a, byte[] body) {
        attempts.recordResponse(a.hop());
        if (body.length > 0 && !BufferedResponse.mayHaveBody(a.status())) {
            a.fail(new AttemptFailure(Verdict.RAN, "the response has a body, status " + a.status()));
            return;
        }
        boolean retryable = BufferedResponse.isFailure(a.status()) && attempts.mayRetry();
        if (retryable || other(a) != null && !BufferedResponse.isSuccess(a.status())) {
            a.fail(new AttemptFailure(Verdict.RAN, "the target responded with status " + a.status()));
            return;
        }
        if (headSent) {
            a.fail(new AttemptFailure(Verdict.RAN, "the response is not an event stream, status " + a.status()));
            return;
        }
        select(a);
        a.end();
        attempts.markAnswered(a.hop());
        if (BufferedResponse.isSuccess(a.status())) {
            attempts.markEstablished(a.hop());
        }
        finish();
        attempts.logResponse(a.hop(), a.status(), body.length);
        headSent = true;
        context.metrics().countResponse(a.status());
        head.tryEmitValue(new Head(a.status(), a.headers(), body));
    }

    @Override
    public void onComplete(StreamAttempt a) {
        attempts.recordResponse(a.hop());
        if (progress.events() == 0 && progress.lastEventId() == null) {
            a.fail(AttemptFailure.truncated("the stream ended before its first event"));
            return;
        }
        recordInterruptedEvent(other(a));
        // another entry that has stalled may hold a part of the next event
        boolean unknown = other(a) != null && other(a).hop().isEntry();
        if (unknown || !progress.mayEndAfter(a.lastId())) {
            a.fail(new AttemptFailure(
                    Verdict.RAN, "the stream ended although another target may have begun a later event"));
            return;
        }
        select(a);
        a.end();
        a.hop().state().recordSuccess();
        attempts.markAnswered(a.hop());
        attempts.markEstablished(a.hop());
        context.metrics().countAttempt("answered");
        finish();
        LOG.infof(
                "request %s on %s: %d events in %d ms from %s, first after %d ms, longest pause %d ms, %d resumed, %d rejected, status %d on connection %s",
                request.attemptId(),
                request.route().name(),
                progress.events(),
                context.now() - request.receivedAt(),
                a.hop().target().instance(),
                progress.firstEventMillis(),
                progress.longestPauseMillis(),
                resumptions,
                attempts.rejections(),
                a.status(),
                a.hop().connection().describe());
        sendHead(a);
        events.tryEmitComplete();
    }

    private void recordInterruptedEvent(StreamAttempt a) {
        if (a != null) {
            progress.recordInterruptedEvent(a.lastId(), a.partialEvent());
        }
    }

    @Override
    public void onFailure(StreamAttempt a, AttemptFailure f) {
        if (f.isUnreachable() && !a.hop().isEntry()) {
            stallPolicy.reportUnreachable(a.hop().target());
        }
        recordInterruptedEvent(a);
        primary = other(a);
        hedge = null;
        if (primary != null && !headSent && isKnownLost(primary)) {
            // the caller can still be refused, which is better than waiting for the end of a lost group
            abandon(primary);
            primary = null;
        }
        boolean retry = attempts.recordFailure(a.hop(), f, a.progress(), progress.events())
                .isRetry();
        if (primary != null) {
            long delayMillis = isKnownLost(primary) ? 0 : MIN_HEDGE_RETRY_MILLIS << failedHedges;
            nextHedgeAt = context.now() + delayMillis;
            failedHedges++;
        } else if (retry) {
            resumptions += f.verdict() == Verdict.NOT_RUN ? 0 : 1;
            startAttempt();
        } else {
            abort(f.getMessage());
        }
    }

    private void abort(String reason) {
        finish();
        if (headSent) {
            LOG.warnf(
                    "request %s: stream %s after %d events, %d ms: %s",
                    request.attemptId(),
                    request.isForwarded()
                            ? "returned to entry " + request.forward().sender()
                            : "aborted",
                    progress.events(),
                    context.now() - request.receivedAt(),
                    reason);
            context.metrics().countRefusal(0);
            if (request.isForwarded()) {
                // the other entry must not take the last complete event for the end of the stream
                events.tryEmitNext(Unpooled.wrappedBuffer(progress.interruptedEvent()));
            }
            events.tryEmitError(new RelayRefusal(502, Verdict.RAN, reason, 0));
        } else {
            head.tryEmitError(attempts.toRefusal(reason));
        }
    }

    /** Ends a stream that its client does not read. */
    private void disconnectClient() {
        LOG.warnf(
                "request %s: stream broken off after %d events: %s",
                request.attemptId(), progress.events(), unread.describe());
        context.metrics().countRefusal(0);
        abandonAll();
        finish();
        unread.disconnect();
    }

    private void abandonAll() {
        abandon(primary);
        abandon(hedge);
    }

    private void abandon(StreamAttempt a) {
        if (a != null) {
            a.cancel();
            attempts.abandon(a.hop(), a.progress());
        }
    }

    private void finish() {
        done = true;
        attempts.finish();
        context.streamMonitor().remove(progressCheck);
        if (primary != null) {
            primary.cancel();
        }
        if (hedge != null) {
            hedge.cancel();
        }
    }

    /**
     * Head of a response.
     *
     * @param status the HTTP status
     * @param headers the headers for the client
     * @param body the complete body, or null if the response is an event stream
     */
    record Head(int status, HttpHeaders headers, byte[] body) {}
}
