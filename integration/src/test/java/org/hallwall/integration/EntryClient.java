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
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;

/** HTTP client of one entry. */
final class EntryClient {

    private final NetAddress entry;

    EntryClient(NetAddress entry) {
        this.entry = entry;
    }

    HttpCalls.Response chat(String prompt, int tokens, boolean stream, String... headers) throws IOException {
        return HttpCalls.send(
                "POST", entry, "/v1/chat/completions", chatBody(prompt, tokens, stream), headers(headers));
    }

    CompletableFuture<HttpCalls.Response> chatAsync(String prompt, int tokens, boolean stream, String... headers) {
        return HttpCalls.sendAsync(
                "POST", entry, "/v1/chat/completions", chatBody(prompt, tokens, stream), headers(headers));
    }

    HttpCalls.Response send(String method, String path, String body, String... headers) throws IOException {
        return HttpCalls.send(method, entry, path, body, headers(headers));
    }

    /** Returns the text of a chat completion, streamed or not. */
    static String responseText(HttpCalls.Response r) throws IOException {
        if (!"text/event-stream".equals(r.contentType())) {
            return r.json()
                    .path("choices")
                    .path(0)
                    .path("message")
                    .path("content")
                    .asText();
        }
        StringBuilder out = new StringBuilder();
        for (String line : r.text().split("\n")) {
            if (line.startsWith("data: {")) {
                out.append(Json.MAPPER
                        .readTree(line.substring("data: ".length()))
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText());
            }
        }
        return out.toString();
    }

    /** Returns the prompt in the form that an engine receives. */
    static String renderPrompt(String text) {
        return "user: " + text + "\n";
    }

    private static String chatBody(String prompt, int tokens, boolean stream) {
        return "{\"model\": \"m\", \"max_tokens\": " + tokens + ", \"stream\": " + stream
                + ", \"messages\": [{\"role\": \"user\", \"content\": \"" + prompt + "\"}]}";
    }

    private static Map<String, String> headers(String... headers) {
        Map<String, String> out = new HashMap<>();
        out.put("Authorization", "Bearer " + Fleet.KEY);
        out.put("Content-Type", "application/json");
        for (int i = 0; i < headers.length; i += 2) {
            out.put(headers[i], headers[i + 1]);
        }
        return out;
    }
}
