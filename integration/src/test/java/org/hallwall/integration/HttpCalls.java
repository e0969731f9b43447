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
package org.hallwall.integration;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;

/** Sends HTTP requests from tests. */
final class HttpCalls {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private HttpCalls() {}

    static Response send(String method, NetAddress address, String path, String body, Map<String, String> headers)
            throws IOException {
        try {
            return toResponse(CLIENT.send(
                    buildRequest(method, address, path, body, headers), HttpResponse.BodyHandlers.ofString()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    static CompletableFuture<Response> sendAsync(
            String method, NetAddress address, String path, String body, Map<String, String> headers) {
        return CLIENT.sendAsync(
                        buildRequest(method, address, path, body, headers), HttpResponse.BodyHandlers.ofString())
                .thenApply(HttpCalls::toResponse);
    }

    static JsonResponse sendForJson(
            String method, NetAddress address, String path, String body, Map<String, String> headers)
            throws IOException {
        Response r = send(method, address, path, body, headers);
        return new JsonResponse(r.status(), Json.MAPPER.readTree(r.text()));
    }

    private static Response toResponse(HttpResponse<String> r) {
        return new Response(
                r.statusCode(),
                r.body(),
                r.headers().firstValue("Retry-After").orElse(null),
                r.headers().firstValue("Content-Type").orElse(null));
    }

    private static HttpRequest buildRequest(
            String method, NetAddress address, String path, String body, Map<String, String> headers) {
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(b::header);
        return b.build();
    }

    /** A response with its body as text. */
    record Response(int status, String text, String retryAfter, String contentType) {

        JsonNode json() throws IOException {
            return Json.MAPPER.readTree(text);
        }

        String verdict() throws IOException {
            return json().path("verdict").asText();
        }
    }

    /** A response with its body as JSON. */
    record JsonResponse(int status, JsonNode body) {}
}
