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

import java.util.Map;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.entry.claim.IdempotencyKey;
import org.hallwall.program.HttpReplies;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Creates idempotency keys that have this failure domain as their home and contain their creation time. */
public final class CreateKeyHandler {

    private final FailureDomainId domain;

    /**
     * Creates the handler.
     *
     * @param domain the failure domain of this entry
     */
    public CreateKeyHandler(FailureDomainId domain) {
        this.domain = domain;
    }

    /**
     * Responds with a new key.
     *
     * @param req the HTTP request
     * @param res the HTTP response
     * @return completes when the response has been sent
     */
    public Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        return HttpReplies.json(res, 200, Map.of("key", IdempotencyKey.mint(domain, System.currentTimeMillis())));
    }
}
