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
package org.hallwall.entry.request;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.exchange.ChatRequest;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestFilter;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.limit.WorkspaceLimits;
import org.hallwall.entry.relay.RelayMetrics;
import org.hallwall.entry.relay.RequestRunner;
import org.hallwall.program.HttpReplies;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles chat completion requests: reads the body, applies the filters, runs the request and relays the answer. */
public final class ChatHandler {

    private static final long DEFAULT_DEADLINE_MILLIS = 120_000;

    private final BodyReader bodies;
    private final List<RequestFilter> filters;
    private final RequestRunner runner;
    private final IdempotencyKeyHandler<List<RunFrame>> keyed;
    private final WorkspaceLimits limits;
    private final RelayMetrics metrics;
    private final RefusalResponder responder;

    /**
     * Creates the handler.
     *
     * @param bodies the reader of request bodies
     * @param filters the filters applied in this order before a request is queued
     * @param runner the runner of requests
     * @param keyed the handler of requests with an idempotency key
     * @param limits the limits to which generated tokens are charged
     * @param metrics the metrics of the request path
     */
    public ChatHandler(
            BodyReader bodies,
            List<RequestFilter> filters,
            RequestRunner runner,
            IdempotencyKeyHandler<List<RunFrame>> keyed,
            WorkspaceLimits limits,
            RelayMetrics metrics) {
        this.bodies = bodies;
        this.filters = List.copyOf(filters);
        this.runner = runner;
        this.keyed = keyed;
        this.limits = limits;
        this.metrics = metrics;
        this.responder = new RefusalResponder(metrics);
    }

    /**
     * Handles a request.
     *
     * @param req the HTTP request
     * @param res the HTTP response
     * @return completes when the response has been sent
     */
    public Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        long now = Ticker.SYSTEM.millis();
        return bodies.read(req)
                .flatMap(body -> prepare(req, body, now)
                        .flatMap(exchange -> respond(exchange, new IdempotencyKeyHandler.HttpCall(req, res, body))))
                .onErrorResume(e -> responder.respond(res, e, null));
    }

    private Mono<Exchange> prepare(HttpServerRequest req, byte[] body, long now) {
        try {
            RequestHeaders headers = RequestHeaders.parse(req.requestHeaders());
            ChatRequest chat = ChatRequest.parse(body);
            boolean repeatable = headers.repeatable() == null || headers.repeatable();
            long deadline = headers.deadlineMillis() == 0 ? DEFAULT_DEADLINE_MILLIS : headers.deadlineMillis();
            Exchange exchange = new Exchange(headers, chat, repeatable, now, deadline);
            for (RequestFilter f : filters) {
                f.apply(exchange);
            }
            return Mono.just(exchange);
        } catch (RefusalException e) {
            return Mono.error(e);
        }
    }

    private Mono<Void> respond(Exchange exchange, IdempotencyKeyHandler.HttpCall call) {
        HttpServerResponse res = call.res();
        String id = exchange.requestId().value();
        res.header(RequestHeaders.REQUEST_ID, id);
        Supplier<Flux<List<RunFrame>>> run = () -> runner.run(exchange).doOnNext(f -> recordCompletion(exchange, f));
        Function<Flux<List<RunFrame>>, Mono<Void>> reply = frames ->
                exchange.chat().stream() ? sendStream(exchange, res, frames) : sendComplete(exchange, res, frames);
        boolean hasKey = exchange.headers().idempotencyKey() != null;
        Mono<Void> done = hasKey ? keyed.handle(exchange, call, run, reply) : reply.apply(run.get());
        return done.onErrorResume(e -> responder.respond(res, e, id));
    }

    private Mono<Void> sendComplete(Exchange exchange, HttpServerResponse res, Flux<List<RunFrame>> frames) {
        return frames.next().flatMap(all -> {
            ChatReply reply =
                    ChatReply.of(exchange.requestId().value(), exchange.chat().model(), all);
            return Mono.from(HttpReplies.json(res, 200, reply));
        });
    }

    /** Delays the status until the first frame, so that an earlier refusal is sent as a regular error response. */
    private Mono<Void> sendStream(Exchange exchange, HttpServerResponse res, Flux<List<RunFrame>> frames) {
        ChatStreamWriter writer = new ChatStreamWriter(
                exchange.requestId().value(), exchange.chat().model());
        return frames.switchOnFirst((first, all) -> {
                    if (first.isOnError()) {
                        return Mono.<Void>error(first.getThrowable());
                    }
                    Flux<ByteBuf> events = all.map(writer::write)
                            .onErrorResume(e -> Flux.just(ChatStreamWriter.writeError(
                                    responder.toRefusal(e), exchange.requestId().value())));
                    return res.sse().header("Cache-Control", "no-cache").send(events, b -> true);
                })
                .then();
    }

    private void recordCompletion(Exchange exchange, List<RunFrame> frames) {
        RunFrame last = frames.get(frames.size() - 1);
        if (last.end() != null) {
            metrics.countAnswer();
            if (last.usage() != null) {
                limits.chargeTokens(exchange.workspace(), last.usage().completionTokens());
            }
        }
    }
}
