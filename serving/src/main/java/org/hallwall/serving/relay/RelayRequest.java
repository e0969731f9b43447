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

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.serving.config.Route;
import org.hallwall.serving.crash.Fingerprint;
import org.hallwall.serving.crash.RequestDigester;
import org.hallwall.serving.crash.RequestFeatures;

/**
 * A client request with its complete body.
 *
 * @param attemptId the id that the client gave this attempt
 * @param method the HTTP method
 * @param uri the path and query, unmodified
 * @param headers the headers to forward, without those set per attempt
 * @param body the body
 * @param route the route
 * @param service the service selected by the weights of the route
 * @param model the requested model, or null
 * @param priority the priority; zero is the highest
 * @param likelyRetry whether the client has likely sent it before
 * @param features what may make the request crash targets; null if there are no crash suspects
 * @param receivedAt the time of arrival, in milliseconds
 * @param deadlineAt the deadline of the response, in milliseconds
 * @param forward how another entry has forwarded the request; null if it comes from the client
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
        boolean likelyRetry,
        RequestFeatures features,
        long receivedAt,
        long deadlineAt,
        ForwardHeaders.Forwarded forward) {

    /** Returns whether another entry has forwarded the request. */
    boolean isForwarded() {
        return forward != null;
    }

    /** Returns the attempts before the request was received. */
    RequestHistory priorHistory() {
        return forward == null ? RequestHistory.EMPTY : forward.history();
    }

    /** Returns the time until the deadline for a recipient, in milliseconds; at least one. */
    long remainingMillis(long now) {
        return Math.max(1, deadlineAt - now);
    }

    /** Returns a copy with features. */
    RelayRequest withFeatures(RequestFeatures newFeatures) {
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
                likelyRetry,
                newFeatures,
                receivedAt,
                deadlineAt,
                forward);
    }

    /** Returns the ids of the prompt parts that other requests may share. */
    List<String> sharedPromptParts(HeaderNames names) {
        return PromptPartsHeader.sharedIds(headers.getAll(names.promptParts()));
    }

    /**
     * Determines the features: a digest over what a retry repeats, which is workspace, host, method, path and body, and the shared
     * prompt parts.
     */
    RequestFeatures computeFeatures(RequestDigester digester, HeaderNames names) {
        Fingerprint digest = digester.digest(
                headers.get(names.workspace()), headers.get(HttpHeaderNames.HOST), method.name(), uri, body);
        List<Fingerprint> parts =
                sharedPromptParts(names).stream().map(Fingerprint::ofPromptPart).toList();
        return new RequestFeatures(digest, parts);
    }
}
