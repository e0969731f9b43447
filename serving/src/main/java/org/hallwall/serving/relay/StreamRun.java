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
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.ResponseProgress;
import org.jboss.logging.Logger;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Relays one request with an event stream response. Complete events are forwarded as they arrive. If a target fails or
 * stalls, the stream is resumed at another target after the last complete event. Confined to one I/O thread.
 */
final class StreamRun {

    private static final Logger LOG = Logger.getLogger(StreamRun.class);
    private static final String EVENT_STREAM = "text/event-stream";
    private final RelayContext context;
    private final RelayRequest request;
    private final AdmissionWindow window;
    private final EventLoop loop;
    private final Sinks.One<Head> head = Sinks.one();
    private final Sinks.Many<ByteBuf> events = Sinks.many().unicast().onBackpressureBuffer();
    private final Attempts attempts;
    private final StallPolicy stallPolicy;
    private final Runnable progressCheck = this::checkProgress;
    private Attempt current;
    private boolean headSent;
    private boolean done;
    private boolean retryCharged;
    private String lastEventId;
    private long lastId = EventStreamDecoder.Event.NO_ID;
    private long progressAt;
    private int resumptions;
    private long eventCount;
    private long longestPause;
    private long firstEventMillis;

    StreamRun(RelayContext context, RelayRequest request, AdmissionWindow window, EventLoop loop, String lastEventId) {
        this.window = window;
        this.context = context;
        this.request = request;
        this.attempts = new Attempts(context, request);
        this.stallPolicy = new StallPolicy(context.forwarder().detector(), context.stalledHeads());
        this.loop = loop;
        this.lastEventId = lastEventId;
        if (lastEventId != null) {
            lastId = parseEventId(lastEventId);
        }
    }

    /** Starts the request; emits the response head or a {@link RelayRefusal}. */
    Mono<Head> start() {
        loop.execute(() -> {
            if (!done) {
                context.streamMonitor().add(loop, progressCheck);
                startAttempt();
            }
        });
        return head.asMono();
    }

    /** Returns the events; terminates with an error if the stream cannot be completed. */
    Flux<ByteBuf> events() {
        return events.asFlux();
    }

    /** Cancels the request because the client has disconnected. */
    void cancel() {
        if (done) {
            return;
        }
        LOG.infof(
                "request %s: client disconnected after %d ms and %d events",
                request.attemptId(), context.now() - request.receivedAt(), eventCount);
        if (current != null) {
            attempts.markAbandoned(current.hop, current.progress());
        }
        finish();
    }

    private void startAttempt() {
        if (done) {
            return;
        }
        long now = context.now();
        if (request.deadlineAt() <= now) {
            abort("the deadline has passed");
            return;
        }
        NextHop hop = attempts.nextHop();
        if (hop == null) {
            abort(attempts.describeNoHop());
            return;
        }
        Attempt a = new Attempt(hop);
        current = a;
        progressAt = now;
        a.state.requestStarted();
        a.subscription = hop.send(request, lastEventId, attempts.history(), a::readResponse)
                .subscribe(a::onChunk, a::fail, a::complete);
    }

    /** Checks the deadline, and whether the current target has stalled or no longer serves. */
    private void checkProgress() {
        if (done || current == null) {
            return;
        }
        long now = context.now();
        if (now >= request.deadlineAt()) {
            current.cancel();
            attempts.abandon(current.hop, current.progress());
            abort("the deadline has passed");
            return;
        }
        Attempt a = current;
        if (!context.state().targets().isStillServing(a.target)) {
            a.fail(AttemptFailure.abandoned("the group no longer serves"));
            return;
        }
        long lastProgressAt = Math.max(progressAt, a.state.lastProgressAt());
        StallTimeout timeout = StallTimeout.of(request.route(), eventCount == 0, a.state);
        boolean stalled = now - lastProgressAt > timeout.millis();
        if (stalled && !a.hop.isEntry()) {
            context.forwarder().detector().suspectSilence();
        }
        if (stalled && stallPolicy.shouldAbandon(a.hop, timeout, lastProgressAt, now) && canRetryElsewhere(a, now)) {
            retryCharged = true;
            a.fail(AttemptFailure.abandoned(
                    "no event for " + (now - lastProgressAt) + " ms, " + stallPolicy.describe(a.hop)));
        }
    }

    /**
     * Returns whether the route, the other targets and the retry budget allow a retry of the stalled stream. A retry of a forwarded
     * request is charged by the entry that forwarded it.
     */
    private boolean canRetryElsewhere(Attempt a, long now) {
        if (!attempts.mayRetry()) {
            return false;
        }
        NextHop other = attempts.chooseHop();
        return other != null
                && !other.state().isEjected(now)
                && (request.isForwarded() || context.retryBudget().tryRetry(request.service()));
    }

    private void attemptFailed(Attempt a, AttemptFailure f) {
        if (f.isUnreachable() && !a.hop.isEntry()) {
            stallPolicy.reportUnreachable(a.target);
        }
        if (attempts.recordFailure(a.hop, f, a.progress(), eventCount, retryCharged)
                .isRetry()) {
            retryCharged = false;
            resumptions += f.verdict() == Verdict.NOT_RUN ? 0 : 1;
            startAttempt();
        } else {
            abort(f.getMessage());
        }
    }

    private void abort(String reason) {
        if (done) {
            return;
        }
        finish();
        if (headSent) {
            LOG.warnf(
                    "request %s: stream %s after %d events, %d ms: %s",
                    request.attemptId(),
                    request.isForwarded()
                            ? "returned to entry " + request.forward().sender()
                            : "aborted",
                    eventCount,
                    context.now() - request.receivedAt(),
                    reason);
            context.metrics().countRefusal(0);
            events.tryEmitError(new RelayRefusal(502, Verdict.RAN, reason, 0));
        } else {
            head.tryEmitError(attempts.toRefusal(reason));
        }
    }

    private void finish() {
        done = true;
        context.streamMonitor().remove(progressCheck);
        if (current != null) {
            current.cancel();
        }
    }

    private void attemptCompleted(Attempt a) {
        a.state.recordSuccess();
        attempts.markAnswered();
        attempts.markEstablished();
        context.metrics().countAttempt("answered");
        finish();
        LOG.infof(
                "request %s on %s: %d events in %d ms from %s, first after %d ms, longest pause %d ms, %d resumed, %d rejected",
                request.attemptId(),
                request.route().name(),
                eventCount,
                context.now() - request.receivedAt(),
                a.target.instance(),
                firstEventMillis,
                longestPause,
                resumptions,
                attempts.rejections());
        events.tryEmitComplete();
    }

    private void deliver(Attempt a, EventStreamDecoder.Event e) {
        long now = context.now();
        if (eventCount == 0) {
            firstEventMillis = now - request.receivedAt();
            context.metrics().recordFirstByte(firstEventMillis);
            if (attempts.history().runs() == 0) {
                window.recordFirstEvent(
                        (double) firstEventMillis / request.route().latencyObjectiveMillis(), now);
            }
        } else {
            longestPause = Math.max(longestPause, now - progressAt);
            a.state.recordGap(now - progressAt);
        }
        progressAt = now;
        a.state.recordProgress(now);
        eventCount++;
        if (e.id() != EventStreamDecoder.Event.NO_ID) {
            lastId = e.id();
            lastEventId = Long.toString(e.id());
        }
        if (!headSent) {
            headSent = true;
            context.metrics().countResponse(a.status);
            head.tryEmitValue(new Head(a.status, a.headers, null));
        }
        events.tryEmitNext(Unpooled.wrappedBuffer(e.bytes()));
    }

    private static long parseEventId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return EventStreamDecoder.Event.NO_ID;
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

    /** An attempt at a target. */
    private final class Attempt {

        private final NextHop hop;
        private final ServingTarget target;
        private final TargetState state;
        private final EventStreamDecoder decoder = new EventStreamDecoder();
        private Disposable subscription;
        private int status;
        private HttpHeaders headers;
        private int events;
        private boolean ended;

        Attempt(NextHop hop) {
            this.hop = hop;
            this.target = hop.target();
            this.state = hop.state();
        }

        ResponseProgress progress() {
            return ResponseProgress.ofStream(headers != null, events);
        }

        Publisher<Chunk> readResponse(HttpClientResponse response, ByteBufFlux body) {
            status = response.status().code();
            headers = context.forwardedHeaders().forResponse(response.responseHeaders());
            attempts.writeHistory(headers, hop, status);
            String type = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "");
            if (type.startsWith(EVENT_STREAM) && BufferedResponse.isSuccess(status)) {
                return body.asByteArray().map(b -> new Chunk(b, false));
            }
            return body.aggregate().asByteArray().defaultIfEmpty(new byte[0]).map(b -> new Chunk(b, true));
        }

        void onChunk(Chunk chunk) {
            if (ended || done) {
                return;
            }
            if (!hop.isEntry()) {
                context.forwarder().detector().recordReceived();
            }
            if (chunk.buffered()) {
                onBufferedResponse(chunk.bytes());
                return;
            }
            try {
                for (EventStreamDecoder.Event e : decoder.decode(chunk.bytes())) {
                    onEvent(e);
                }
            } catch (IllegalArgumentException e) {
                fail(new AttemptFailure(Verdict.RAN, e.getMessage()));
            }
        }

        private void onEvent(EventStreamDecoder.Event e) {
            if (ended) {
                return;
            }
            ResponseProgress before = progress();
            events++;
            if (progress() != before && progress() == ResponseProgress.ESTABLISHED) {
                attempts.markEstablished();
            }
            boolean isNext = e.id() == EventStreamDecoder.Event.NO_ID
                    || lastId == EventStreamDecoder.Event.NO_ID
                    || e.id() == lastId + 1;
            if (isNext) {
                deliver(this, e);
            } else if (e.id() > lastId) {
                fail(new AttemptFailure(Verdict.RAN, "event " + e.id() + " received after " + lastId));
            }
        }

        /** Handles a response that is not an event stream: an error of the target, or a complete response. */
        private void onBufferedResponse(byte[] body) {
            if (BufferedResponse.isFailure(status) && attempts.mayRetry()) {
                fail(new AttemptFailure(Verdict.RAN, "the target responded with status " + status));
                return;
            }
            if (headSent) {
                fail(new AttemptFailure(Verdict.RAN, "the response is not an event stream, status " + status));
                return;
            }
            ended = true;
            state.requestEnded();
            attempts.markAnswered();
            if (BufferedResponse.isSuccess(status)) {
                attempts.markEstablished();
            }
            finish();
            headSent = true;
            context.metrics().countResponse(status);
            head.tryEmitValue(new Head(status, headers, body));
        }

        void fail(Throwable e) {
            if (ended || done) {
                return;
            }
            cancel();
            AttemptFailure f =
                    e instanceof AttemptFailure a ? a : new AttemptFailure(Verdict.MAY_HAVE_RUN, e.toString());
            attemptFailed(this, f);
        }

        void complete() {
            if (ended || done) {
                return;
            }
            if (decoder.hasPartialEvent() || eventCount == 0) {
                // without a length, a crash closes the connection like the end of a response
                fail(AttemptFailure.truncated("the stream ended within an event"));
                return;
            }
            ended = true;
            state.requestEnded();
            attemptCompleted(this);
        }

        void cancel() {
            if (!ended) {
                ended = true;
                state.requestEnded();
                if (subscription != null) {
                    subscription.dispose();
                }
            }
        }
    }

    /** Part of a response body, or all of it. */
    private record Chunk(byte[] bytes, boolean buffered) {}
}
