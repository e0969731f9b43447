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

import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.ResponseProgress;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

/** An attempt at one recipient whose response is read as a whole. Confined to one I/O thread. */
final class BufferedAttempt {

    private final NextHop hop;
    private final Listener listener;
    private final long startedAt;
    private final BodyMemory.Reservation memory;
    private ResponseProgress progress = ResponseProgress.NONE;
    private Disposable subscription;
    private boolean ended;

    /**
     * Creates an attempt; {@link #start} sends it.
     *
     * @param hop the recipient
     * @param listener is notified of the response
     * @param startedAt the current time, in milliseconds
     * @param memory the memory for the response; released if the attempt fails
     */
    BufferedAttempt(NextHop hop, Listener listener, long startedAt, BodyMemory.Reservation memory) {
        this.hop = hop;
        this.listener = listener;
        this.startedAt = startedAt;
        this.memory = memory;
    }

    /** Is notified of the response; not after the attempt was cancelled. */
    interface Listener {

        /** Runs a step of the attempt and handles its unexpected errors. */
        void runGuarded(Runnable step);

        /** Returns the headers of the response for the client. */
        HttpHeaders onHead(BufferedAttempt a, HttpClientResponse head);

        /** Handles the complete response; the attempt has ended. */
        void onResponse(BufferedAttempt a, BufferedResponse response);

        /** Handles the failure of the attempt, which has ended. */
        void onFailure(BufferedAttempt a, AttemptFailure f);
    }

    /**
     * Sends the request.
     *
     * @param request the request
     * @param history the other attempts
     */
    void start(RelayRequest request, RequestHistory history) {
        hop.state().requestStarted();
        Disposable sent = hop.send(request, null, history, this::readResponse)
                .next()
                .switchIfEmpty(Mono.error(new AttemptFailure(Verdict.MAY_HAVE_RUN, "the response ended prematurely")))
                .subscribe(r -> listener.runGuarded(() -> onResponse(r)), e -> listener.runGuarded(() -> onError(e)));
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

    ResponseProgress progress() {
        return progress;
    }

    private Mono<BufferedResponse> readResponse(HttpClientResponse head, ByteBufFlux body) {
        progress = ResponseProgress.BEGUN;
        HttpHeaders headers = listener.onHead(this, head);
        return ResponseBody.read(body, memory)
                .map(bytes -> new BufferedResponse(head.status().code(), headers, bytes));
    }

    private void onResponse(BufferedResponse response) {
        if (end()) {
            listener.onResponse(this, response);
        }
    }

    private void onError(Throwable e) {
        if (end()) {
            memory.release();
            listener.onFailure(
                    this, e instanceof AttemptFailure f ? f : new AttemptFailure(Verdict.MAY_HAVE_RUN, e.toString()));
        }
    }

    /** Cancels the attempt without a report. */
    void cancel() {
        if (end()) {
            if (subscription != null) {
                subscription.dispose();
            }
            memory.release();
        }
    }

    /** Returns whether the attempt was in progress. */
    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        hop.state().requestEnded();
        return true;
    }
}
