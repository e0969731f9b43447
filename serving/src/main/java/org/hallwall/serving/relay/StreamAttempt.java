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

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.ResponseProgress;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

/** An attempt of a stream request at one recipient. Confined to one I/O thread. */
final class StreamAttempt {

    private static final String EVENT_STREAM = "text/event-stream";

    private final RelayContext context;
    private final NextHop hop;
    private final Listener listener;
    private final long startedAt;
    private final BodyMemory.Reservation memory;
    private final EventStreamDecoder decoder = new EventStreamDecoder();
    private Disposable subscription;
    private int status;
    private HttpHeaders headers;
    private boolean framed;
    private int events;
    private long lastId = EventStreamDecoder.Event.NO_ID;
    private boolean ended;

    /**
     * Creates an attempt; {@link #start} sends it.
     *
     * @param context the shared components
     * @param hop the recipient
     * @param listener is notified of the response
     * @param memory the memory for a whole response or a partial event; released if the attempt fails
     */
    StreamAttempt(RelayContext context, NextHop hop, Listener listener, BodyMemory.Reservation memory) {
        this.context = context;
        this.hop = hop;
        this.listener = listener;
        this.startedAt = context.now();
        this.memory = memory;
    }

    /** Is notified of the response; not after the attempt has ended. */
    interface Listener {

        /** Runs a step of the attempt and handles its unexpected errors. */
        void runGuarded(Runnable step);

        /** Returns the headers of the response for the client. */
        HttpHeaders onHead(StreamAttempt a, HttpClientResponse head);

        /** Handles a complete event. */
        void onEvent(StreamAttempt a, EventStreamDecoder.Event e);

        /** Handles a complete response that is not an event stream: an error of the target, or a plain response. */
        void onWholeResponse(StreamAttempt a, byte[] body);

        /** Handles the end of the event stream. */
        void onComplete(StreamAttempt a);

        /** Handles the failure of the attempt, which has ended. */
        void onFailure(StreamAttempt a, AttemptFailure f);
    }

    /**
     * Sends the request.
     *
     * @param request the request
     * @param lastEventId the last event that the client has received, or null
     * @param history the other attempts
     */
    void start(RelayRequest request, String lastEventId, RequestHistory history) {
        hop.state().requestStarted();
        lastId = StreamProgress.parseEventId(lastEventId);
        Disposable sent = hop.send(request, lastEventId, history, this::readResponse)
                .subscribe(
                        c -> listener.runGuarded(() -> onChunk(c)),
                        e -> listener.runGuarded(() -> fail(e)),
                        () -> listener.runGuarded(this::onEnd));
        if (ended) {
            sent.dispose();
        } else {
            subscription = sent;
        }
    }

    NextHop hop() {
        return hop;
    }

    long startedAt() {
        return startedAt;
    }

    int status() {
        return status;
    }

    HttpHeaders headers() {
        return headers;
    }

    /** Returns the last event of the target, or the one after which it was asked to continue. */
    long lastId() {
        return lastId;
    }

    /** Returns the event that the target has begun and not finished; empty if there is none. */
    byte[] partialEvent() {
        return decoder.partialEvent();
    }

    ResponseProgress progress() {
        return ResponseProgress.ofStream(headers != null, events);
    }

    /** Returns whether the latest event shows that the target has survived the prompt. */
    boolean hasJustEstablished() {
        return progress() == ResponseProgress.ESTABLISHED
                && ResponseProgress.ofStream(true, events - 1) != ResponseProgress.ESTABLISHED;
    }

    private Publisher<Chunk> readResponse(HttpClientResponse response, ByteBufFlux body) {
        status = response.status().code();
        headers = listener.onHead(this, response);
        HttpHeaders received = response.responseHeaders();
        framed = received.contains(HttpHeaderNames.CONTENT_LENGTH)
                || received.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (received.get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM)
                && BufferedResponse.isSuccess(status)
                && BufferedResponse.mayHaveBody(status)) {
            return body.asByteArray().map(b -> new Chunk(b, false));
        }
        return ResponseBody.read(body, memory).map(b -> new Chunk(b, true));
    }

    private void onChunk(Chunk chunk) {
        if (ended) {
            return;
        }
        if (!hop.isEntry()) {
            context.forwarder().detector().recordReceived();
        }
        if (chunk.whole()) {
            listener.onWholeResponse(this, chunk.bytes());
            return;
        }
        try {
            for (EventStreamDecoder.Event e : decoder.decode(chunk.bytes())) {
                if (!ended) {
                    events++;
                    lastId = e.id() == EventStreamDecoder.Event.NO_ID ? lastId : e.id();
                    listener.onEvent(this, e);
                }
            }
            if (!ended && !memory.tryExtend(decoder.bufferedBytes())) {
                fail(ResponseBody.noMemory(memory, decoder.bufferedBytes()));
            }
        } catch (IllegalArgumentException e) {
            fail(new AttemptFailure(Verdict.RAN, e.getMessage()));
        }
    }

    private void onEnd() {
        if (ended) {
            return;
        }
        // without a length or chunks, a crash closes the connection like the end of a response
        if (decoder.hasPartialEvent() || events == 0 && !framed) {
            fail(AttemptFailure.truncated("the stream ended within an event"));
        } else {
            listener.onComplete(this);
        }
    }

    /** Ends the attempt and reports its failure. */
    void fail(Throwable e) {
        if (!ended) {
            cancel();
            listener.onFailure(
                    this, e instanceof AttemptFailure a ? a : new AttemptFailure(Verdict.MAY_HAVE_RUN, e.toString()));
        }
    }

    /** Ends the attempt after its response; the connection can be used again. */
    void end() {
        if (!ended) {
            ended = true;
            hop.state().requestEnded();
        }
    }

    /** Cancels the attempt without a report. */
    void cancel() {
        if (!ended) {
            end();
            if (subscription != null) {
                subscription.dispose();
            }
            memory.release();
        }
    }

    /** Part of a response body, or all of it. */
    private record Chunk(byte[] bytes, boolean whole) {}
}
