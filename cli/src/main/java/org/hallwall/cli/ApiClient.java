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
package org.hallwall.cli;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;
import org.hallwall.program.ResponseCorrelation;
import org.hallwall.program.SingleUseConnections;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Client of the resource API that tries each voter in turn until one returns a final response. */
final class ApiClient {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(6);
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);
    private static final int MAX_ROUNDS = 6;

    private final List<NetAddress> servers;
    private final HttpClient http;

    ApiClient(List<NetAddress> servers, String key) {
        this.servers = servers;
        this.http = ResponseCorrelation.withoutIds()
                .enable(HttpClient.create(SingleUseConnections.builder("voters").build()))
                .keepAlive(false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .headers(h -> {
                    h.set("Content-Type", "application/json");
                    if (key != null) {
                        h.set("Authorization", "Bearer " + key);
                    }
                });
    }

    ApiResponse get(String path) throws ProgramException {
        return sendWithRetries(HttpMethod.GET, path, null, null);
    }

    /** Sends a change. Retries carry the same change id, so that the change is applied at most once. */
    ApiResponse sendChange(HttpMethod method, String path, String body, String changeId) throws ProgramException {
        return sendWithRetries(method, path, body, changeId);
    }

    Flux<String> streamText(String path) throws ProgramException {
        requireServers();
        return http.get().uri(uri(servers.get(0), path)).responseContent().asString();
    }

    private ApiResponse sendWithRetries(HttpMethod method, String path, String body, String changeId)
            throws ProgramException {
        requireServers();
        ApiResponse last = null;
        String lastError = "";
        for (int i = 0; i < MAX_ROUNDS * servers.size(); i++) {
            NetAddress server = servers.get(i % servers.size());
            try {
                last = sendOnce(server, method, path, body, changeId).block(ATTEMPT_TIMEOUT);
                if (last != null && !last.isRetryable()) {
                    return last;
                }
            } catch (RuntimeException e) {
                lastError = server + ": " + e.getMessage();
            }
            Mono.delay(RETRY_DELAY).block();
        }
        if (last != null) {
            return last;
        }
        throw new ProgramException(ExitCode.FAILURE, "no voter is reachable, last error: " + lastError);
    }

    private Mono<ApiResponse> sendOnce(
            NetAddress server, HttpMethod method, String path, String body, String changeId) {
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        return http.headers(h -> {
                    if (changeId != null) {
                        h.set("Hallwall-Change-Id", changeId);
                    }
                })
                .request(method)
                .uri(uri(server, path))
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                .responseSingle((res, content) -> content.asString()
                        .defaultIfEmpty("")
                        .map(text -> new ApiResponse(res.status().code(), parse(text))));
    }

    private static JsonNode parse(String text) {
        try {
            JsonNode node = Json.MAPPER.readTree(text);
            return node == null ? Json.MAPPER.createObjectNode() : node;
        } catch (JsonProcessingException e) {
            return Json.MAPPER.createObjectNode().put("detail", text);
        }
    }

    private void requireServers() throws ProgramException {
        if (servers.isEmpty()) {
            throw new ProgramException(ExitCode.USAGE_ERROR, "--servers or HALLWALL_SERVERS must name the voters");
        }
    }

    private static String uri(NetAddress server, String path) {
        return "http://" + server + path;
    }
}
