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
package org.hallwall.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.settings.NetAddress;
import org.reactivestreams.Publisher;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server of the admin port: health, readiness, metrics, state dump and resource usage. */
public final class AdminServer implements AutoCloseable {

    private static final String TEXT_TYPE = "text/plain; charset=utf-8";

    private final DisposableServer server;

    private AdminServer(DisposableServer server) {
        this.server = server;
    }

    /**
     * Binds the admin port.
     *
     * @param address the address to listen on
     * @param registry the metrics to expose
     * @param ready whether the process accepts work
     * @param dump supplies the state dump
     * @return the running server
     * @throws ProgramException if the port cannot be bound
     */
    public static AdminServer open(
            NetAddress address, PrometheusRegistry registry, BooleanSupplier ready, Supplier<Object> dump)
            throws ProgramException {
        HttpServer http = HttpServer.create()
                .host(address.host())
                .port(address.port())
                .route(routes -> routes.get("/healthz", (req, res) -> HttpReplies.text(res, 200, TEXT_TYPE, "ok\n"))
                        .get("/readyz", (req, res) -> readiness(res, ready))
                        .get("/metrics", (req, res) -> metrics(res, registry))
                        .get("/debug/dump", (req, res) -> HttpReplies.prettyJson(res, dump.get()))
                        .get("/debug/usage", (req, res) -> HttpReplies.prettyJson(res, usage(req))));
        return new AdminServer(HttpServerBinder.bind(http, address));
    }

    /**
     * Returns the bound port.
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

    private static ProcessUsage usage(HttpServerRequest req) {
        return ProcessUsage.measure(req.uri().contains("collect=true"));
    }

    private static Publisher<Void> readiness(HttpServerResponse res, BooleanSupplier ready) {
        boolean isReady = ready.getAsBoolean();
        return HttpReplies.text(res, isReady ? 200 : 503, TEXT_TYPE, isReady ? "ready\n" : "not ready\n");
    }

    private static Publisher<Void> metrics(HttpServerResponse res, PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        try {
            writer.write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return HttpReplies.text(res, 200, writer.getContentType(), out.toString(StandardCharsets.UTF_8));
    }
}
