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
package org.hallwall.serving.relay;

import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.config.Route;
import org.hallwall.serving.config.RouteTable;
import org.hallwall.serving.config.WorkspaceKeys;
import org.jboss.logging.Logger;
import reactor.netty.http.server.HttpServerRequest;

/** Checks and routes requests by their heads, from clients and from other entries. Confined to the I/O thread. */
final class RequestReceiver {

    private static final Logger LOG = Logger.getLogger(RelayServer.class);
    /** Maximum number of requests from other entries in progress; protects the clients of this one. */
    private static final int MAX_FORWARDED = 200;

    private final RelayContext context;
    private final StartupRetryDelay startupRetryDelay;
    private final RetryDetector retryDetector = new RetryDetector();

    /**
     * Creates a receiver.
     *
     * @param context the shared components
     */
    RequestReceiver(RelayContext context) {
        this.context = context;
        this.startupRetryDelay = new StartupRetryDelay(
                context.ticker(), () -> ThreadLocalRandom.current().nextDouble());
    }

    private RouteTable activeRoutes() throws RelayRefusal {
        RouteTable routes = context.state().routes();
        if (routes.configuration().version() == 0) {
            throw RelayRefusal.notRun("no configuration has been received yet", startupRetryDelay.retryAfterMillis());
        }
        return routes;
    }

    private static Route findRoute(RouteTable routes, HttpServerRequest req) throws RelayRefusal {
        Route route = routes.findRoute(req.requestHeaders().get(HttpHeaderNames.HOST), req.uri());
        if (route == null) {
            throw new RelayRefusal(404, Verdict.NOT_RUN, "no route matches this path", 0);
        }
        return route;
    }

    /**
     * Receives a request from a client.
     *
     * @param req the head of the request
     * @return creates the request from its body
     * @throws RelayRefusal if the request is not accepted
     */
    Function<byte[], RelayRequest> receive(HttpServerRequest req) throws RelayRefusal {
        RouteTable routes = activeRoutes();
        HttpHeaders headers = req.requestHeaders();
        checkHeadSize(routes, headers, req.uri());
        Route route = findRoute(routes, req);
        WorkspaceKeys workspace =
                routes.findWorkspace(headers.get(context.headerNames().key()));
        if (workspace == null && routes.requiresKeys() && !route.anonymous()) {
            throw new RelayRefusal(401, Verdict.NOT_RUN, "unknown key", 0);
        }
        String attemptId = attemptId(headers);
        long now = context.now();
        long timeoutMillis = callerTimeoutMillis(headers, route);
        boolean likelyRetry = retryDetector.isRetry(route, timeoutMillis);
        long deadlineAt = now + Math.min(route.timeoutMillis(), timeoutMillis);
        String service = route.selectService(ThreadLocalRandom.current().nextDouble());
        context.retryBudget().recordRequest(service);
        context.metrics().countRequest(service);
        return body -> new RelayRequest(
                attemptId,
                req.method(),
                req.uri(),
                context.forwardedHeaders().forRequest(headers, workspace == null ? null : workspace.name()),
                body,
                route,
                service,
                headers.get(context.headerNames().model()),
                workspace == null || workspace.priority() == null ? route.priority() : workspace.priority(),
                likelyRetry,
                null,
                now,
                deadlineAt,
                null);
    }

    /**
     * Receives a request from another entry, which has authenticated the client and counted the request for the retry
     * budget.
     *
     * @param req the head of the request
     * @param inProgress the number of requests from other entries in progress
     * @return creates the request from its body
     * @throws RelayRefusal if the request is not accepted
     */
    Function<byte[], RelayRequest> receiveForwarded(HttpServerRequest req, int inProgress) throws RelayRefusal {
        RouteTable routes = activeRoutes();
        HttpHeaders headers = req.requestHeaders();
        ForwardHeaders.Forwarded forward = ForwardHeaders.read(headers);
        if (routes.configuration().version() < forward.configurationVersion()) {
            throw RelayRefusal.notRun("this entry has an earlier configuration", Shutdown.OTHER_ENTRY_RETRY_MILLIS);
        }
        if (context.forwarder().isPartitioned()) {
            throw RelayRefusal.notRun(
                    "this entry has lost its links to the targets", Shutdown.OTHER_ENTRY_RETRY_MILLIS);
        }
        if (inProgress > MAX_FORWARDED) {
            throw RelayRefusal.notRun("too many requests from other entries", RelayContext.OVERLOAD_RETRY_AFTER_MILLIS);
        }
        Route route = findRoute(routes, req);
        String attemptId = attemptId(headers);
        long now = context.now();
        long deadlineAt = now + Math.min(route.timeoutMillis(), callerTimeoutMillis(headers, route));
        context.metrics().countForward(false);
        LOG.infof(
                "request %s: received from entry %s, %d runs before",
                attemptId, forward.sender(), forward.history().runs());
        return body -> new RelayRequest(
                attemptId,
                req.method(),
                req.uri(),
                context.forwardedHeaders()
                        .forRequest(headers, headers.get(context.headerNames().workspace())),
                body,
                route,
                forward.service(),
                headers.get(context.headerNames().model()),
                forward.priority(),
                forward.likelyRetry(),
                null,
                now,
                deadlineAt,
                forward);
    }

    private String attemptId(HttpHeaders headers) throws RelayRefusal {
        String attemptId = headers.get(context.headerNames().attemptId());
        if (attemptId == null || attemptId.isEmpty()) {
            throw new RelayRefusal(400, Verdict.NOT_RUN, "the request has no attempt id", 0);
        }
        return attemptId;
    }

    private static void checkHeadSize(RouteTable routes, HttpHeaders headers, String uri) throws RelayRefusal {
        int size = uri.length();
        for (Map.Entry<String, String> h : headers) {
            size += h.getKey().length() + h.getValue().length() + 4;
        }
        if (size > routes.configuration().limits().maxHeaderBytes()) {
            throw new RelayRefusal(431, Verdict.NOT_RUN, "the request head is too large", 0);
        }
    }

    private long callerTimeoutMillis(HttpHeaders headers, Route route) {
        String text = headers.get(context.headerNames().deadlineMillis());
        if (text == null) {
            return route.timeoutMillis();
        }
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return route.timeoutMillis();
        }
    }
}
