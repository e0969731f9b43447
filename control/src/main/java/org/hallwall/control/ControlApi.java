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
package org.hallwall.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.hallwall.control.DeclarationCommand.Type;
import org.hallwall.control.ResourceView.Declaration;
import org.hallwall.control.ResourceView.Page;
import org.hallwall.control.ResourceView.WatchLine;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.SettingsError;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.program.HttpQuery;
import org.hallwall.program.HttpReplies;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceEvent;
import org.hallwall.resource.ResourceKind;
import org.hallwall.resource.ResourceMessage.Changes;
import org.jboss.logging.Logger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The HTTP API for resources, used by operators and their automation. */
final class ControlApi {

    private static final Logger LOG = Logger.getLogger(ControlApi.class);
    private static final String ROOT = "/api/v1";
    private static final String CHANGE_ID_HEADER = "Hallwall-Change-Id";
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    private final DeclarationStateMachine machine;
    private final CommandRouter router;
    private final ChangeFeed feed;
    private final ResourceViewFactory views;
    private final OperatorAuthenticator authenticator;
    private final Supplier<Object> status;

    ControlApi(
            DeclarationStateMachine machine,
            CommandRouter router,
            ChangeFeed feed,
            ReportRegistry reports,
            OperatorAuthenticator authenticator,
            Supplier<Object> status) {
        this.machine = machine;
        this.router = router;
        this.feed = feed;
        this.views = new ResourceViewFactory(reports);
        this.authenticator = authenticator;
        this.status = status;
    }

    void addRoutes(HttpServerRoutes routes) {
        routes.get(ROOT + "/status", authenticated((req, res) -> HttpReplies.json(res, 200, status.get())));
        routes.get(ROOT + "/watch", authenticated(this::watch));
        routes.get(ROOT + "/{kind}", authenticated(this::list));
        routes.get(ROOT + "/{kind}/{name}", authenticated(this::get));
        routes.put(ROOT + "/{kind}/{name}", authenticated(this::put));
        routes.delete(ROOT + "/{kind}/{name}", authenticated(this::delete));
    }

    // --- reads

    private Publisher<Void> list(HttpServerRequest req, HttpServerResponse res) throws RefusalException {
        ResourceKind kind = kind(req);
        return router.awaitReadIndex().then(Mono.defer(() -> {
            long version = machine.applied();
            return Mono.from(HttpReplies.json(res, 200, new Page(version, views.createAll(machine.list(kind)))));
        }));
    }

    private Publisher<Void> get(HttpServerRequest req, HttpServerResponse res) throws RefusalException {
        ResourceKind kind = kind(req);
        String name = req.param("name");
        return router.awaitReadIndex().then(Mono.defer(() -> {
            Resource r = machine.get(kind, name);
            if (r == null) {
                return Mono.error(notFound(kind, name));
            }
            return Mono.from(HttpReplies.json(res, 200, views.create(r)));
        }));
    }

    private Publisher<Void> watch(HttpServerRequest req, HttpServerResponse res) throws RefusalException {
        long from = HttpQuery.of(req).nonNegativeLong("from", machine.applied());
        if (machine.isCompacted(from)) {
            throw new RefusalException(
                    ProblemType.GONE,
                    "version " + from + " is compacted; list the resources and watch from the version of the list");
        }
        Flux<ByteBuf> lines = feed.streamChanges(from).concatMapIterable(this::encodeLines);
        return res.header("Content-Type", "application/x-ndjson").send(lines, b -> true);
    }

    private List<ByteBuf> encodeLines(Changes changes) {
        List<ByteBuf> out = new ArrayList<>();
        for (ResourceEvent e : changes.events()) {
            out.add(encodeLine(new WatchLine(e.deleted() ? "DELETE" : "PUT", e.version(), views.create(e.resource()))));
        }
        if (out.isEmpty()) {
            out.add(encodeLine(new WatchLine("BOOKMARK", changes.version(), null)));
        }
        return out;
    }

    private static ByteBuf encodeLine(WatchLine line) {
        try {
            String text = Json.MAPPER.writeValueAsString(line) + "\n";
            return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize watch event", e);
        }
    }

    // --- changes

    private Publisher<Void> put(HttpServerRequest req, HttpServerResponse res) throws RefusalException {
        ResourceKind kind = kind(req);
        String name = name(req);
        String changeId = changeId(req);
        return req.receive()
                .aggregate()
                .asString()
                .defaultIfEmpty("")
                .flatMap(body -> submitPut(kind, name, changeId, body))
                .flatMap(o -> Mono.from(reply(res, o, kind, name)));
    }

    private Mono<DeclarationOutcome> submitPut(ResourceKind kind, String name, String changeId, String body) {
        try {
            Declaration d = parseDeclaration(kind, name, body);
            long expected = d.resourceVersion() == null ? 0 : d.resourceVersion();
            String spec = d.spec().toString();
            return router.submit(new DeclarationCommand(Type.PUT, kind, name, spec, expected, changeId, null));
        } catch (RefusalException e) {
            return Mono.error(e);
        }
    }

    private Publisher<Void> delete(HttpServerRequest req, HttpServerResponse res) throws RefusalException {
        ResourceKind kind = kind(req);
        String name = name(req);
        long expected = HttpQuery.of(req).nonNegativeLong("resourceVersion", 0);
        DeclarationCommand command =
                new DeclarationCommand(Type.DELETE, kind, name, null, expected, changeId(req), null);
        return router.submit(command).flatMap(o -> Mono.from(reply(res, o, kind, name)));
    }

    private Publisher<Void> reply(HttpServerResponse res, DeclarationOutcome o, ResourceKind kind, String name) {
        return switch (o.result()) {
            case APPLIED -> HttpReplies.json(res, 200, views.create(o.resource()));
            case NOT_FOUND -> Mono.error(notFound(kind, name));
            case CONFLICT ->
                Mono.error(new RefusalException(
                        ProblemType.CONFLICT, "the current version of the resource is " + o.currentVersion()));
            case CHANGE_ID_REUSED ->
                Mono.error(new RefusalException(
                        ProblemType.KEY_REUSED, "the change id was already used for another change"));
        };
    }

    private static Declaration parseDeclaration(ResourceKind kind, String name, String body) throws RefusalException {
        Declaration d;
        try {
            d = Json.MAPPER.readValue(body, Declaration.class);
        } catch (JsonProcessingException e) {
            throw new RefusalException(ProblemType.BAD_REQUEST, "the request body is not a valid JSON declaration");
        }
        if (d == null || !kind.label().equals(d.kind()) || !name.equals(d.name())) {
            throw new RefusalException(ProblemType.BAD_REQUEST, "kind and name must match the request path");
        }
        JsonNode spec = d.spec() == null ? Json.MAPPER.nullNode() : d.spec();
        List<SettingsError> faults = kind.check(spec);
        if (!faults.isEmpty()) {
            List<String> texts = faults.stream().map(f -> "/spec" + f).toList();
            throw new RefusalException(
                    ProblemType.INVALID_SPEC, Verdict.NOT_RUN, texts.size() + " fault(s)", Duration.ZERO, texts);
        }
        return d;
    }

    private static String changeId(HttpServerRequest req) {
        String given = req.requestHeaders().get(CHANGE_ID_HEADER);
        return given == null ? UUID.randomUUID().toString() : given;
    }

    private static ResourceKind kind(HttpServerRequest req) throws RefusalException {
        ResourceKind kind = ResourceKind.byPlural(req.param("kind"));
        if (kind == null) {
            throw new RefusalException(ProblemType.NOT_FOUND, "unknown resource kind " + req.param("kind"));
        }
        return kind;
    }

    private static String name(HttpServerRequest req) throws RefusalException {
        String name = req.param("name");
        if (name == null || !NAME_PATTERN.matcher(name).matches()) {
            throw new RefusalException(
                    ProblemType.BAD_REQUEST, "the resource name must match " + NAME_PATTERN.pattern());
        }
        return name;
    }

    private static RefusalException notFound(ResourceKind kind, String name) {
        return new RefusalException(ProblemType.NOT_FOUND, kind.label() + " " + name + " does not exist");
    }

    // --- authentication and errors

    private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> authenticated(RequestHandler handler) {
        return (req, res) -> {
            try {
                authenticator.authenticate(req.requestHeaders().get("Authorization"));
                return Mono.from(handler.handle(req, res)).onErrorResume(e -> Mono.from(sendProblem(res, e)));
            } catch (RefusalException e) {
                return sendProblem(res, e);
            }
        };
    }

    private static Publisher<Void> sendProblem(HttpServerResponse res, Throwable e) {
        if (e instanceof RefusalException r) {
            return HttpReplies.problem(res, r, null);
        }
        LOG.errorf(e, "control: API request failed");
        return HttpReplies.problem(
                res,
                new RefusalException(
                        ProblemType.INTERNAL,
                        Verdict.MAY_HAVE_RUN,
                        "internal error, see the log of the voter",
                        Duration.ZERO),
                null);
    }

    /** Handles one request. */
    private interface RequestHandler {
        Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) throws RefusalException;
    }
}
