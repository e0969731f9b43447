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
package org.hallwall.fakes;

import java.io.Closeable;
import java.time.Duration;
import java.util.Map;
import java.util.function.BiFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hallwall.core.id.AttemptId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.Json;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.engine.EngineOrder;
import org.hallwall.engine.EnginePaths;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.GroupMembership;
import org.hallwall.engine.RunCancelled;
import org.hallwall.program.HttpQuery;
import org.hallwall.program.HttpReplies;
import org.hallwall.program.HttpServerBinder;
import org.hallwall.program.ProgramException;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server of a fake target. */
final class FakeTargetServer implements Closeable {

    private static final Duration PAUSE_POLL_INTERVAL = Duration.ofMillis(50);

    private final FakeTarget target;
    private DisposableServer server;

    FakeTargetServer(FakeTarget target) {
        this.target = target;
    }

    void open() throws ProgramException {
        HttpServer http = HttpServer.create()
                .host(target.settings().listen().host())
                .port(target.settings().listen().port())
                .route(this::addRoutes);
        server = HttpServerBinder.bind(http, target.settings().listen());
        target.setPort(server.port());
    }

    int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.disposeNow();
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.get(
                        "/fake/account",
                        (req, res) ->
                                HttpReplies.json(res, 200, target.account().snapshot()))
                .post("/fake/faults", this::switchFaults)
                .get(EnginePaths.MEMBERSHIP, withFaults(this::membership))
                .post(EnginePaths.ORDERS, withFaults(this::order))
                .post(EnginePaths.RUNS, withFaults(this::run))
                .get(EnginePaths.RUNS + "/{attempt}", withFaults(this::resume))
                .delete(EnginePaths.RUNS + "/{attempt}", withFaults(this::cancel))
                .route(r -> target.settings().service() != null, withFaults(this::call));
    }

    private Publisher<Void> membership(HttpServerRequest req, HttpServerResponse res) {
        return HttpReplies.json(
                res,
                200,
                new MembershipResponse(
                        target.settings().instance(), target.membership().current()));
    }

    private Publisher<Void> order(HttpServerRequest req, HttpServerResponse res) {
        return body(req, EngineOrder.class).flatMap(order -> {
            FakeMembership.Refusal refusal = target.applyOrder(order);
            return Mono.from(
                    refusal == null
                            ? HttpReplies.json(res, 200, Map.of("taken", true))
                            : HttpReplies.json(res, 409, refusal));
        });
    }

    private Publisher<Void> run(HttpServerRequest req, HttpServerResponse res) {
        return body(req, EngineRun.class).flatMap(request -> {
            if (!target.isServing(request.group())) {
                return Mono.from(HttpReplies.json(res, 409, Map.of("reason", "this group does not serve here")));
            }
            FakeRun run = target.run(request);
            if (run == null) {
                return Mono.from(HttpReplies.json(res, 409, Map.of("reason", "the attempt is known or cancelled")));
            }
            return Mono.from(stream(res, run, 0));
        });
    }

    private Publisher<Void> resume(HttpServerRequest req, HttpServerResponse res) {
        FakeRun run = target.run(new AttemptId(req.param("attempt")));
        if (run == null) {
            return HttpReplies.json(res, 404, Map.of("reason", "no such run"));
        }
        try {
            return stream(res, run, (int) HttpQuery.of(req).nonNegativeLong("from", 0));
        } catch (RefusalException e) {
            return HttpReplies.problem(res, e, null);
        }
    }

    private Publisher<Void> stream(HttpServerResponse res, FakeRun run, int from) {
        return res.header("Content-Type", "application/x-ndjson").send(target.frames(run, from), b -> true);
    }

    private Publisher<Void> cancel(HttpServerRequest req, HttpServerResponse res) {
        boolean started = target.cancel(new AttemptId(req.param("attempt")));
        return HttpReplies.json(res, 200, new RunCancelled(started));
    }

    private Publisher<Void> call(HttpServerRequest req, HttpServerResponse res) {
        return req.receive().aggregate().asString().defaultIfEmpty("").flatMap(body -> {
            String hash = FakeCompletion.hash(body);
            target.account().recordCall(req.method().name(), req.uri(), hash, System.currentTimeMillis());
            if (target.faults().cutService()) {
                res.withConnection(c -> c.channel().close());
                return Mono.never();
            }
            Map<String, Object> answer = Map.of("method", req.method().name(), "bodyHash", hash);
            return Mono.delay(target.serviceTime()).then(Mono.from(HttpReplies.json(res, 200, answer)));
        });
    }

    /** Updates the faults named in the request and keeps all others. */
    private Publisher<Void> switchFaults(HttpServerRequest req, HttpServerResponse res) {
        return req.receive().aggregate().asString().flatMap(text -> {
            try {
                ObjectNode faults = Json.MAPPER.valueToTree(target.faults());
                faults.setAll((ObjectNode) Json.MAPPER.readTree(text));
                target.setFaults(Json.MAPPER.treeToValue(faults, FakeFaults.class));
                return Mono.from(HttpReplies.json(res, 200, target.faults()));
            } catch (JsonProcessingException e) {
                return Mono.from(HttpReplies.json(res, 400, Map.of("reason", e.getOriginalMessage())));
            }
        });
    }

    private static <T> Mono<T> body(HttpServerRequest req, Class<T> type) {
        return req.receive().aggregate().asString().handle((text, sink) -> {
            try {
                sink.next(Json.MAPPER.readValue(text, type));
            } catch (JsonProcessingException e) {
                sink.error(e);
            }
        });
    }

    /** Wraps a handler so that a dead target closes the connection and a paused one defers the response. */
    private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> withFaults(
            BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
        return (req, res) -> {
            if (target.faults().dead()) {
                res.withConnection(c -> c.channel().close());
                return Mono.never();
            }
            if (target.faults().paused()) {
                return Flux.interval(PAUSE_POLL_INTERVAL)
                        .takeUntil(i -> !target.faults().paused())
                        .then(Mono.defer(() -> Mono.from(handler.apply(req, res))));
            }
            return handler.apply(req, res);
        };
    }

    /** Response to a membership probe of another member. */
    record MembershipResponse(InstanceId instance, GroupMembership membership) {}
}
