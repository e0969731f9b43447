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

import com.fasterxml.jackson.annotation.JsonProperty;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.relay.RelayMetrics;
import org.hallwall.program.HttpReplies;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Lists the models of the caller's workspace. */
public final class ModelsHandler {

    private final AuthenticationFilter authentication;
    private final RefusalResponder responder;

    /**
     * Creates the handler.
     *
     * @param authentication the filter that authenticates a request
     * @param metrics the metrics of the request path
     */
    public ModelsHandler(AuthenticationFilter authentication, RelayMetrics metrics) {
        this.authentication = authentication;
        this.responder = new RefusalResponder(metrics);
    }

    /**
     * Handles a request.
     *
     * @param req the HTTP request
     * @param res the HTTP response
     * @return completes when the response has been sent
     */
    public Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        try {
            Exchange exchange =
                    new Exchange(RequestHeaders.parse(req.requestHeaders()), null, true, Ticker.SYSTEM.millis(), 0);
            authentication.apply(exchange);
            List<Model> models = exchange.workspaceSpec().models().stream()
                    .map(route -> new Model(route.name(), "model", "hallwall"))
                    .toList();
            return HttpReplies.json(res, 200, new Models("list", models));
        } catch (RefusalException e) {
            return responder.respond(res, e, null);
        }
    }

    /** Response body with the list of models. */
    record Models(String object, List<Model> data) {}

    /** A model in the list. */
    record Model(
            String id,
            String object,
            @JsonProperty("owned_by") String ownedBy) {}
}
