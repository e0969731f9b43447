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
package org.hallwall.entry.peer;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectReader;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.EnginePaths;
import org.hallwall.entry.forward.RemoteRunServer;
import org.hallwall.program.HttpReplies;
import org.hallwall.program.HttpServerBinder;
import org.hallwall.program.ProgramException;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server for the announcements of targets and the run requests of other failure domains. */
public final class AnnouncementServer implements Closeable {

    private static final ObjectReader READER = Json.MAPPER.readerFor(Announcement.class);
    private static final int MAX_BYTES = 64 * 1024;

    private final FailureDomainId domain;
    private final AnnouncementRelay relay;
    private final RemoteRunServer remoteRuns;
    private DisposableServer server;

    /**
     * Creates the server; call {@link #open} to bind its port.
     *
     * @param domain the failure domain of this entry
     * @param relay receives the announcements
     * @param remoteRuns serves the run requests of other failure domains
     */
    public AnnouncementServer(FailureDomainId domain, AnnouncementRelay relay, RemoteRunServer remoteRuns) {
        this.domain = domain;
        this.relay = relay;
        this.remoteRuns = remoteRuns;
    }

    /**
     * Binds the port.
     *
     * @param address the address to bind
     * @throws ProgramException if the address cannot be bound
     */
    public void open(NetAddress address) throws ProgramException {
        HttpServer http = HttpServer.create()
                .host(address.host())
                .port(address.port())
                .httpRequestDecoder(d -> d.maxHeaderSize(MAX_BYTES))
                .route(routes -> {
                    routes.post(EnginePaths.ANNOUNCEMENTS, this::receive);
                    remoteRuns.addRoutes(routes);
                });
        server = HttpServerBinder.bind(http, address);
    }

    /**
     * Returns the bound port.
     *
     * @return the port number
     */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.disposeNow();
    }

    private Publisher<Void> receive(HttpServerRequest req, HttpServerResponse res) {
        if (req.requestHeaders().getInt("Content-Length", 0) > MAX_BYTES) {
            return reject(res, "the announcement is too large");
        }
        return req.receive().aggregate().asByteArray().flatMap(bytes -> Mono.from(receive(bytes, res)));
    }

    private Publisher<Void> receive(byte[] bytes, HttpServerResponse res) {
        try {
            Announcement a = READER.readValue(bytes);
            if (!a.failureDomain().equals(domain)) {
                return reject(res, "this entry belongs to failure domain " + domain);
            }
            relay.receive(a);
            return HttpReplies.json(res, 200, Map.of("taken", true));
        } catch (IOException | IllegalArgumentException e) {
            return reject(res, "the announcement is malformed");
        }
    }

    private static Publisher<Void> reject(HttpServerResponse res, String reason) {
        return HttpReplies.json(res, 400, Map.of("taken", false, "reason", reason));
    }
}
