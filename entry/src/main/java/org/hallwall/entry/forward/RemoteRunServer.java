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
package org.hallwall.entry.forward;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.hallwall.core.settings.Json;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.relay.RequestRunner;
import org.hallwall.entry.request.BodyReader;
import org.hallwall.program.HttpReplies;
import org.hallwall.resource.Declarations;
import org.hallwall.resource.WorkspaceSpec;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Serves run requests from entries of other failure domains. */
public final class RemoteRunServer {

    private final BodyReader bodies;
    private final Supplier<Declarations> declarations;
    private final RequestRunner runner;

    /**
     * Creates the server.
     *
     * @param bodies reads request bodies
     * @param declarations supplies the current declarations
     * @param runner runs requests on the groups of this failure domain only
     */
    public RemoteRunServer(BodyReader bodies, Supplier<Declarations> declarations, RequestRunner runner) {
        this.bodies = bodies;
        this.declarations = declarations;
        this.runner = runner;
    }

    /**
     * Adds the route for run requests.
     *
     * @param routes the routes of the server
     */
    public void addRoutes(HttpServerRoutes routes) {
        routes.post(RemoteRunRequest.PATH, this::handle);
    }

    private Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        return bodies.read(req)
                .flatMap(this::createExchange)
                .flatMapMany(runner::run)
                .switchOnFirst((first, all) -> first.isOnError()
                        ? Mono.<Void>error(first.getThrowable())
                        : res.header("Content-Type", "application/x-ndjson").send(encodeLines(all), b -> true))
                .then()
                .onErrorResume(e -> Mono.from(HttpReplies.problem(res, toRefusal(e), null)));
    }

    /** A run that fails after its first frame ends without an end frame, which the client treats as a failure. */
    private static Flux<ByteBuf> encodeLines(Flux<List<RunFrame>> frames) {
        return frames.map(RemoteRunServer::encode).onErrorResume(e -> Flux.empty());
    }

    private Mono<Exchange> createExchange(byte[] body) {
        try {
            RemoteRunRequest run = Json.MAPPER.readValue(body, RemoteRunRequest.class);
            WorkspaceSpec spec = declarations.get().workspaces().get(run.workspace());
            if (spec == null) {
                return Mono.error(new RefusalException(
                        ProblemType.UNAUTHORIZED, "the workspace does not exist in this failure domain"));
            }
            RequestHeaders headers =
                    new RequestHeaders(null, null, run.repeatable(), run.priority(), run.deadlineMillis(), 1);
            Exchange x =
                    new Exchange(headers, run.chat(), run.repeatable(), Ticker.SYSTEM.millis(), run.deadlineMillis());
            x.setWorkspace(run.workspace(), spec);
            x.setRoute(run.modelGroup(), run.adapter());
            return Mono.just(x);
        } catch (IOException e) {
            return Mono.error(new RefusalException(ProblemType.BAD_REQUEST, "the run request is malformed"));
        }
    }

    private static RefusalException toRefusal(Throwable e) {
        return e instanceof RefusalException r
                ? r
                : new RefusalException(ProblemType.INTERNAL, Verdict.MAY_HAVE_RUN, "see the log", Duration.ZERO);
    }

    private static ByteBuf encode(List<RunFrame> frames) {
        StringBuilder out = new StringBuilder();
        try {
            for (RunFrame f : frames) {
                out.append(Json.MAPPER.writeValueAsString(f)).append('\n');
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a run frame", e);
        }
        return Unpooled.wrappedBuffer(out.toString().getBytes(StandardCharsets.UTF_8));
    }
}
