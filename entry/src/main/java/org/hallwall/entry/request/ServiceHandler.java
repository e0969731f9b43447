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

import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.core.id.ServiceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.limit.WorkspaceLimits;
import org.hallwall.entry.relay.RelayMetrics;
import org.hallwall.entry.relay.ServiceCall;
import org.hallwall.entry.relay.ServiceReply;
import org.hallwall.entry.relay.ServiceRunner;
import org.hallwall.resource.Declarations;
import org.hallwall.resource.ServiceSpec;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles HTTP calls to services. */
public final class ServiceHandler {

    /** Path prefix of service calls; the id of the service follows. */
    public static final String PATH_PREFIX = "/services/";

    private final BodyReader bodies;
    private final AuthenticationFilter authentication;
    private final WorkspaceLimits limits;
    private final Supplier<Declarations> declarations;
    private final ServiceRunner runner;
    private final IdempotencyKeyHandler<ServiceReply> keyed;
    private final RelayMetrics metrics;
    private final RefusalResponder responder;

    /**
     * Creates the handler.
     *
     * @param bodies the reader of request bodies
     * @param authentication the filter that authenticates a request
     * @param limits the limits of workspaces
     * @param declarations supplies the current declarations
     * @param runner the runner of service calls
     * @param keyed the handler of calls with an idempotency key
     * @param metrics the metrics of the request path
     */
    public ServiceHandler(
            BodyReader bodies,
            AuthenticationFilter authentication,
            WorkspaceLimits limits,
            Supplier<Declarations> declarations,
            ServiceRunner runner,
            IdempotencyKeyHandler<ServiceReply> keyed,
            RelayMetrics metrics) {
        this.bodies = bodies;
        this.authentication = authentication;
        this.limits = limits;
        this.declarations = declarations;
        this.runner = runner;
        this.keyed = keyed;
        this.metrics = metrics;
        this.responder = new RefusalResponder(metrics);
    }

    /**
     * Handles a call.
     *
     * @param req the HTTP request
     * @param res the HTTP response
     * @return completes when the response has been sent
     */
    public Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        long now = Ticker.SYSTEM.millis();
        return bodies.read(req)
                .flatMap(body -> dispatch(new IdempotencyKeyHandler.HttpCall(req, res, body), now))
                .onErrorResume(e -> responder.respond(res, e, null));
    }

    private Mono<Void> dispatch(IdempotencyKeyHandler.HttpCall call, long now) {
        HttpServerRequest req = call.req();
        HttpServerResponse res = call.res();
        try {
            RequestHeaders headers = RequestHeaders.parse(req.requestHeaders());
            String rest = req.uri().substring(PATH_PREFIX.length());
            int slash = rest.indexOf('/');
            ServiceId service = parseServiceId(slash < 0 ? rest : rest.substring(0, slash));
            String path = slash < 0 ? "/" : rest.substring(slash);
            Declarations current = declarations.get();
            Exchange exchange = createExchange(req, headers, current.serviceSpec(service), now);
            authentication.apply(exchange);
            requireService(exchange, service, current);
            limits.apply(exchange);
            res.header(RequestHeaders.REQUEST_ID, exchange.requestId().value());
            HttpMethod method = req.method();
            String type = req.requestHeaders().get("Content-Type");
            ServiceCall serviceCall = new ServiceCall(service, method.name(), path, type, call.body());
            if (headers.idempotencyKey() == null) {
                return runner.run(exchange, serviceCall).flatMap(reply -> respond(res, reply));
            }
            return keyed.handle(
                    exchange,
                    call,
                    () -> runner.run(exchange, serviceCall).flux(),
                    parts -> parts.next().flatMap(reply -> respond(res, reply)));
        } catch (RefusalException e) {
            return Mono.error(e);
        }
    }

    private static Exchange createExchange(HttpServerRequest req, RequestHeaders headers, ServiceSpec spec, long now) {
        ServiceSpec effectiveSpec = spec == null ? new ServiceSpec(null, null) : spec;
        boolean repeatableByDefault =
                effectiveSpec.repeatableMethods().contains(req.method().name());
        boolean repeatable = headers.repeatable() == null ? repeatableByDefault : headers.repeatable();
        long deadline = headers.deadlineMillis() == 0 ? effectiveSpec.timeoutMillis() : headers.deadlineMillis();
        return new Exchange(headers, null, repeatable, now, deadline);
    }

    private static void requireService(Exchange exchange, ServiceId service, Declarations current)
            throws RefusalException {
        if (!exchange.workspaceSpec().services().contains(service) || current.serviceSpec(service) == null) {
            throw new RefusalException(ProblemType.UNKNOWN_SERVICE, "the workspace has no service of that name");
        }
    }

    private static ServiceId parseServiceId(String name) throws RefusalException {
        try {
            return new ServiceId(name);
        } catch (IllegalArgumentException e) {
            throw new RefusalException(ProblemType.UNKNOWN_SERVICE, "the workspace has no service of that name");
        }
    }

    private Mono<Void> respond(HttpServerResponse res, ServiceReply reply) {
        metrics.countAnswer();
        if (reply.contentType() != null) {
            res.header("Content-Type", reply.contentType());
        }
        return Mono.from(res.status(reply.status()).sendByteArray(Mono.just(reply.body())));
    }
}
