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
import org.hallwall.entry.relay.RelayCounters;
import org.hallwall.entry.relay.ServiceCall;
import org.hallwall.entry.relay.ServiceReply;
import org.hallwall.entry.relay.ServiceRunner;
import org.hallwall.resource.Declarations;
import org.hallwall.resource.ServiceSpec;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles calls of plain services. */
public final class ServiceHandler {

    /** The beginning of the paths of plain services. */
    public static final String ROOT = "/services/";

    private final BodyReader bodies;
    private final IdentifyFilter identify;
    private final WorkspaceLimits limits;
    private final Supplier<Declarations> declarations;
    private final ServiceRunner runner;
    private final KeyedHandler<ServiceReply> keyed;
    private final RelayCounters counters;
    private final Refusals refusals;

    /**
     * Creates the handler.
     *
     * @param bodies reads bodies
     * @param identify finds the workspace
     * @param limits holds workspaces to their limits
     * @param declarations the declarations in force
     * @param runner runs calls
     * @param keyed handles calls with an idempotency key
     * @param counters the counters
     */
    public ServiceHandler(
            BodyReader bodies,
            IdentifyFilter identify,
            WorkspaceLimits limits,
            Supplier<Declarations> declarations,
            ServiceRunner runner,
            KeyedHandler<ServiceReply> keyed,
            RelayCounters counters) {
        this.bodies = bodies;
        this.identify = identify;
        this.limits = limits;
        this.declarations = declarations;
        this.runner = runner;
        this.keyed = keyed;
        this.counters = counters;
        this.refusals = new Refusals(counters);
    }

    /**
     * Handles a call.
     *
     * @param req the call
     * @param res the reply
     * @return the end of the reply
     */
    public Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        long now = Ticker.SYSTEM.millis();
        return bodies.read(req)
                .flatMap(body -> begin(new KeyedHandler.RawCall(req, res, body), now))
                .onErrorResume(e -> refusals.answer(res, e, null));
    }

    private Mono<Void> begin(KeyedHandler.RawCall call, long now) {
        HttpServerRequest req = call.req();
        HttpServerResponse res = call.res();
        try {
            RequestHeaders headers = RequestHeaders.read(req.requestHeaders());
            String rest = req.uri().substring(ROOT.length());
            int slash = rest.indexOf('/');
            ServiceId service = service(slash < 0 ? rest : rest.substring(0, slash));
            String path = slash < 0 ? "/" : rest.substring(slash);
            Declarations declared = declarations.get();
            Exchange x = exchange(req, headers, declared.service(service), now);
            identify.apply(x);
            requireService(x, service, declared);
            limits.apply(x);
            res.header(RequestHeaders.REQUEST_ID, x.requestId().value());
            HttpMethod method = req.method();
            String type = req.requestHeaders().get("Content-Type");
            ServiceCall serviceCall = new ServiceCall(service, method.name(), path, type, call.body());
            if (headers.idempotencyKey() == null) {
                return runner.run(x, serviceCall).flatMap(r -> write(res, r));
            }
            return keyed.handle(
                    x,
                    call,
                    () -> runner.run(x, serviceCall).flux(),
                    parts -> parts.next().flatMap(r -> write(res, r)));
        } catch (RefusalException e) {
            return Mono.error(e);
        }
    }

    private static Exchange exchange(HttpServerRequest req, RequestHeaders headers, ServiceSpec spec, long now) {
        ServiceSpec rules = spec == null ? new ServiceSpec(null, null) : spec;
        boolean usual = rules.repeatableMethods().contains(req.method().name());
        boolean repeatable = headers.repeatable() == null ? usual : headers.repeatable();
        long deadline = headers.deadlineMillis() == 0 ? rules.timeoutMillis() : headers.deadlineMillis();
        return new Exchange(headers, null, repeatable, now, deadline);
    }

    private static void requireService(Exchange x, ServiceId service, Declarations declared) throws RefusalException {
        if (!x.workspaceSpec().services().contains(service) || declared.service(service) == null) {
            throw new RefusalException(ProblemType.UNKNOWN_SERVICE, "the workspace has no service of that name");
        }
    }

    private static ServiceId service(String name) throws RefusalException {
        try {
            return new ServiceId(name);
        } catch (IllegalArgumentException e) {
            throw new RefusalException(ProblemType.UNKNOWN_SERVICE, "the workspace has no service of that name");
        }
    }

    private Mono<Void> write(HttpServerResponse res, ServiceReply reply) {
        counters.countAnswer();
        if (reply.contentType() != null) {
            res.header("Content-Type", reply.contentType());
        }
        return Mono.from(res.status(reply.status()).sendByteArray(Mono.just(reply.body())));
    }
}
