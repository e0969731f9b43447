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
package org.hallwall.program;

import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.hallwall.core.settings.Json;
import org.hallwall.core.verdict.Problem;
import org.hallwall.core.verdict.RefusalException;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes JSON, text and problem responses. */
public final class HttpReplies {

    private static final String JSON_TYPE = "application/json";
    private static final String CONTENT_TYPE = "Content-Type";
    private static final long MILLIS_PER_SECOND = 1_000;

    private HttpReplies() {}

    /**
     * Sends a JSON body.
     *
     * @param res the response
     * @param status the HTTP status
     * @param body the value to write
     * @return completes when the response has been sent
     */
    public static Publisher<Void> json(HttpServerResponse res, int status, Object body) {
        return write(res, status, JSON_TYPE, text(Json.MAPPER, body));
    }

    /**
     * Sends an indented JSON body with status 200.
     *
     * @param res the response
     * @param body the value to write
     * @return completes when the response has been sent
     */
    public static Publisher<Void> prettyJson(HttpServerResponse res, Object body) {
        return write(res, 200, JSON_TYPE, text(Json.PRETTY_MAPPER, body) + "\n");
    }

    /**
     * Sends a text body.
     *
     * @param res the response
     * @param status the HTTP status
     * @param type the content type
     * @param body the text
     * @return completes when the response has been sent
     */
    public static Publisher<Void> text(HttpServerResponse res, int status, String type, String body) {
        return write(res, status, type, body);
    }

    /**
     * Sends a refusal as a problem document, with a {@code Retry-After} header if it has a delay.
     *
     * @param res the response
     * @param refusal the refusal to report
     * @param requestId the id of the request; may be null
     * @return completes when the response has been sent
     */
    public static Publisher<Void> problem(HttpServerResponse res, RefusalException refusal, String requestId) {
        Duration retryAfter = refusal.retryAfter();
        if (!retryAfter.isZero()) {
            res.header("Retry-After", Long.toString(roundUpToSeconds(retryAfter)));
        }
        int status = refusal.type().status();
        return write(res, status, Problem.MEDIA_TYPE, text(Json.MAPPER, Problem.of(refusal, requestId)));
    }

    private static long roundUpToSeconds(Duration retryAfter) {
        return Math.max(1, (retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private static Publisher<Void> write(HttpServerResponse res, int status, String type, String body) {
        return res.status(status).header(CONTENT_TYPE, type).sendString(Mono.just(body));
    }

    private static String text(ObjectMapper mapper, Object body) {
        try {
            return mapper.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("reply cannot be written", e);
        }
    }
}
