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

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.serving.config.Route;
import org.hallwall.serving.crash.RequestDigest;
import org.hallwall.serving.crash.RequestDigester;

/**
 * A caller's request, read whole.
 *
 * @param attemptId the caller's id of this attempt
 * @param method the method
 * @param uri the path and query as the caller sent them
 * @param headers the headers for a target, without those of the attempt
 * @param body the body
 * @param route the route
 * @param service the service that the split has drawn
 * @param model the model that it names, or null
 * @param priority its rank; zero is the highest
 * @param again whether it has likely been refused before
 * @param digest recognises it when it comes again; null if no request is a suspect
 * @param receivedAt the clock when it came, in milliseconds
 * @param deadlineAt the clock when it must have its answer, in milliseconds
 */
public record RelayRequest(
        String attemptId,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        Route route,
        String service,
        String model,
        int priority,
        boolean again,
        RequestDigest digest,
        long receivedAt,
        long deadlineAt) {

    /** Copies the request with its digest. */
    RelayRequest with(RequestDigest known) {
        return new RelayRequest(
                attemptId,
                method,
                uri,
                headers,
                body,
                route,
                service,
                model,
                priority,
                again,
                known,
                receivedAt,
                deadlineAt);
    }

    /** Digests what a caller sends again when it retries: the same caller, method, path and body. */
    RequestDigest digestBy(RequestDigester digester, HeaderNames names) {
        return digester.of(headers.get(names.workspace()), headers.get(HttpHeaderNames.HOST), method.name(), uri, body);
    }
}
