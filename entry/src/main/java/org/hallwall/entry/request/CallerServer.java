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

import java.io.Closeable;
import java.time.Duration;
import java.util.function.BiFunction;

import io.netty.channel.ChannelOption;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.relay.RelayMetrics;
import org.hallwall.program.HttpServerBinder;
import org.hallwall.program.ProgramException;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server of the public API. */
public final class CallerServer implements Closeable {

    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    private static final int BACKLOG = 1_024;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ChatHandler chat;
    private final ModelsHandler models;
    private final ServiceHandler services;
    private final CreateKeyHandler keys;
    private final InFlightRequests inFlight;
    private final RefusalResponder responder;
    private DisposableServer server;

    /**
     * Creates the server without opening its port.
     *
     * @param chat the handler of chat completions
     * @param models the handler of the list of models
     * @param services the handler of service calls
     * @param keys the handler that creates idempotency keys
     * @param inFlight the counter of requests in progress
     * @param metrics the metrics of the request path
     */
    public CallerServer(
            ChatHandler chat,
            ModelsHandler models,
            ServiceHandler services,
            CreateKeyHandler keys,
            InFlightRequests inFlight,
            RelayMetrics metrics) {
        this.chat = chat;
        this.models = models;
        this.services = services;
        this.keys = keys;
        this.inFlight = inFlight;
        this.responder = new RefusalResponder(metrics);
    }

    /**
     * Opens the port.
     *
     * @param address the address to listen on
     * @throws ProgramException if the port cannot be opened
     */
    public void open(NetAddress address) throws ProgramException {
        HttpServer http = HttpServer.create()
                .host(address.host())
                .port(address.port())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .httpRequestDecoder(d -> d.maxHeaderSize(MAX_HEADER_BYTES).maxInitialLineLength(MAX_REQUEST_LINE_BYTES))
                .requestTimeout(REQUEST_TIMEOUT)
                .idleTimeout(IDLE_TIMEOUT)
                .route(routes -> routes.post("/v1/chat/completions", trackInFlight(chat::handle))
                        .get("/v1/models", trackInFlight(models::handle))
                        .post("/v1/idempotency-keys", trackInFlight(keys::handle))
                        .route(r -> r.uri().startsWith(ServiceHandler.PATH_PREFIX), trackInFlight(services::handle))
                        .route(r -> true, this::notFound));
        server = HttpServerBinder.bind(http, address);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.disposeNow();
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> trackInFlight(
            BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
        return (req, res) -> {
            if (inFlight.isStopping()) {
                res.header("Connection", "close");
                return responder.respond(
                        res,
                        new RefusalException(
                                ProblemType.STOPPING, Verdict.NOT_RUN, "this entry is stopping", RETRY_AFTER),
                        null);
            }
            inFlight.requestStarted();
            return Mono.from(handler.apply(req, res)).doFinally(end -> inFlight.requestEnded());
        };
    }

    private Publisher<Void> notFound(HttpServerRequest req, HttpServerResponse res) {
        return responder.respond(res, new RefusalException(ProblemType.NOT_FOUND, "there is no such path"), null);
    }
}
