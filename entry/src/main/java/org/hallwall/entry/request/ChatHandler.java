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
import org.hallwall.entry.relay.RelayCounters;
import org.hallwall.entry.relay.RequestRunner;
import org.hallwall.program.HttpReplies;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles chat completion requests: receives, passes the filters, runs, relays, settles. */
public final class ChatHandler {

    private static final long USUAL_DEADLINE_MILLIS = 120_000;

    private final BodyReader bodies;
    private final List<RequestFilter> filters;
    private final RequestRunner runner;
    private final KeyedHandler<List<RunFrame>> keyed;
    private final WorkspaceLimits limits;
    private final RelayCounters counters;
    private final Refusals refusals;

    /**
     * Creates the handler.
     *
     * @param bodies reads bodies
     * @param filters the steps before the request is queued, in order
     * @param runner runs requests
     * @param keyed handles requests with an idempotency key
     * @param limits counts the tokens used
     * @param counters the counters
     */
    public ChatHandler(
            BodyReader bodies,
            List<RequestFilter> filters,
            RequestRunner runner,
            KeyedHandler<List<RunFrame>> keyed,
            WorkspaceLimits limits,
            RelayCounters counters) {
        this.bodies = bodies;
        this.filters = List.copyOf(filters);
        this.runner = runner;
        this.keyed = keyed;
        this.limits = limits;
        this.counters = counters;
        this.refusals = new Refusals(counters);
    }

    /**
     * Handles a request.
     *
     * @param req the request
     * @param res the reply
     * @return the end of the reply
     */
    public Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        long now = Ticker.SYSTEM.millis();
        return bodies.read(req)
                .flatMap(body ->
                        begin(req, body, now).flatMap(x -> answer(x, new KeyedHandler.RawCall(req, res, body))))
                .onErrorResume(e -> refusals.answer(res, e, null));
    }

    private Mono<Exchange> begin(HttpServerRequest req, byte[] body, long now) {
        try {
            RequestHeaders headers = RequestHeaders.read(req.requestHeaders());
            ChatRequest chat = ChatRequest.read(body);
            boolean repeatable = headers.repeatable() == null || headers.repeatable();
            long deadline = headers.deadlineMillis() == 0 ? USUAL_DEADLINE_MILLIS : headers.deadlineMillis();
            Exchange x = new Exchange(headers, chat, repeatable, now, deadline);
            for (RequestFilter f : filters) {
                f.apply(x);
            }
            return Mono.just(x);
        } catch (RefusalException e) {
            return Mono.error(e);
        }
    }

    private Mono<Void> answer(Exchange x, KeyedHandler.RawCall call) {
        HttpServerResponse res = call.res();
        String id = x.requestId().value();
        res.header(RequestHeaders.REQUEST_ID, id);
        Supplier<Flux<List<RunFrame>>> run = () -> runner.run(x).doOnNext(f -> settle(x, f));
        Function<Flux<List<RunFrame>>, Mono<Void>> reply =
                frames -> x.chat().stream() ? stream(x, res, frames) : whole(x, res, frames);
        boolean hasKey = x.headers().idempotencyKey() != null;
        Mono<Void> done = hasKey ? keyed.handle(x, call, run, reply) : reply.apply(run.get());
        return done.onErrorResume(e -> refusals.answer(res, e, id));
    }

    private Mono<Void> whole(Exchange x, HttpServerResponse res, Flux<List<RunFrame>> frames) {
        return frames.next().flatMap(all -> {
            ChatReply reply = ChatReply.of(x.requestId().value(), x.chat().model(), all);
            return Mono.from(HttpReplies.json(res, 200, reply));
        });
    }

    /** The status is sent with the first frame, so that a refusal before it is a plain one. */
    private Mono<Void> stream(Exchange x, HttpServerResponse res, Flux<List<RunFrame>> frames) {
        ChatStreamWriter writer =
                new ChatStreamWriter(x.requestId().value(), x.chat().model());
        return frames.switchOnFirst((first, all) -> {
                    if (first.isOnError()) {
                        return Mono.<Void>error(first.getThrowable());
                    }
                    Flux<ByteBuf> events = all.map(writer::write)
                            .onErrorResume(e -> Flux.just(ChatStreamWriter.writeError(
                                    refusals.of(e), x.requestId().value())));
                    return res.sse().header("Cache-Control", "no-cache").send(events, b -> true);
                })
                .then();
    }

    private void settle(Exchange x, List<RunFrame> frames) {
        RunFrame last = frames.get(frames.size() - 1);
        if (last.end() != null) {
            counters.countAnswer();
            if (last.usage() != null) {
                limits.chargeTokens(x.workspace(), last.usage().completionTokens());
            }
        }
    }
}
