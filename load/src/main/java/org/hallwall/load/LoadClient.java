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
package org.hallwall.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.fakes.FakeCompletion;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Sends the requests of an experiment to the entries and classifies the responses. */
final class LoadClient {

    private static final int MAX_CONNECTIONS = 4_000;
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(5);

    private final LoadExperiment experiment;
    private final HttpClient http;

    LoadClient(LoadExperiment experiment) {
        this.experiment = experiment;
        this.http = HttpClient.create(ConnectionProvider.builder("load")
                        .maxConnections(MAX_CONNECTIONS)
                        .pendingAcquireMaxCount(MAX_CONNECTIONS)
                        .build())
                .headers(h -> h.set("Authorization", "Bearer " + experiment.key())
                        .set("Content-Type", "application/json")
                        .set("Hallwall-Deadline-Ms", experiment.deadlineMillis()));
    }

    Mono<LoadOutcome> send(LoadRequest r, long startNanos) {
        NetAddress entry =
                experiment.entries().get(r.number() % experiment.entries().size());
        ResponseReader reading = new ResponseReader(r, startNanos + r.dueNanos());
        return http.headers(h -> {
                    h.set("Hallwall-Priority", r.priority());
                    if (r.idempotencyKey() != null) {
                        h.set("Idempotency-Key", r.idempotencyKey()).set("Hallwall-Repeatable", "false");
                    }
                })
                .post()
                .uri("http://" + entry + "/v1/chat/completions")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body(r))))
                .response((res, bytes) ->
                        bytes.asString().doOnNext(reading::append).then(Mono.fromSupplier(() -> reading.outcome(res))))
                .next()
                .timeout(Duration.ofMillis(experiment.deadlineMillis()).plus(TIMEOUT_MARGIN))
                .onErrorResume(e -> Mono.just(reading.failure(e)));
    }

    private byte[] body(LoadRequest r) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("model", experiment.model()).put("stream", r.streamed()).put("max_tokens", experiment.tokens());
        body.putArray("messages").addObject().put("role", "user").put("content", r.prompt());
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Reads one response. */
    private final class ResponseReader {

        private final LoadRequest request;
        private final long dueNanos;
        private final StringBuilder text = new StringBuilder();
        private final List<Long> gaps = new ArrayList<>();
        private long firstNanos;
        private long lastNanos;

        ResponseReader(LoadRequest request, long dueNanos) {
            this.request = request;
            this.dueNanos = dueNanos;
        }

        void append(String chunk) {
            long now = System.nanoTime();
            if (firstNanos == 0) {
                firstNanos = now;
            } else {
                gaps.add(now - lastNanos);
            }
            lastNanos = now;
            text.append(chunk);
        }

        LoadOutcome outcome(HttpClientResponse res) {
            if (res.status().code() != 200) {
                return refusal(text.toString(), res.responseHeaders().contains("Retry-After"));
            }
            int error = text.indexOf("event: error\ndata: ");
            if (error >= 0) {
                return refusal(text.substring(error + "event: error\ndata: ".length()), false);
            }
            return createOutcome(isComplete() ? LoadOutcome.WHOLE : LoadOutcome.WRONG, null, false);
        }

        LoadOutcome failure(Throwable e) {
            return createOutcome("broken " + e.getClass().getSimpleName(), null, false);
        }

        private LoadOutcome refusal(String problem, boolean retryAfter) {
            try {
                JsonNode p = Json.MAPPER.readTree(problem);
                return createOutcome(
                        p.path("type").asText("?"), p.path("verdict").asText("?"), retryAfter);
            } catch (JsonProcessingException e) {
                return createOutcome("refused", "?", retryAfter);
            }
        }

        private LoadOutcome createOutcome(String kind, String verdict, boolean retryAfter) {
            long first = firstNanos == 0 ? 0 : firstNanos - dueNanos;
            return new LoadOutcome(request, kind, verdict, first, System.nanoTime() - dueNanos, gaps, retryAfter);
        }

        private boolean isComplete() {
            String expected = FakeCompletion.fullText("user: " + request.prompt() + "\n", experiment.tokens());
            try {
                return expected.equals(request.streamed() ? streamedText() : plainText());
            } catch (JsonProcessingException e) {
                return false;
            }
        }

        private String plainText() throws JsonProcessingException {
            return Json.MAPPER
                    .readTree(text.toString())
                    .at("/choices/0/message/content")
                    .asText();
        }

        private String streamedText() throws JsonProcessingException {
            StringBuilder out = new StringBuilder();
            boolean done = false;
            for (String line : text.toString().split("\n")) {
                if (line.startsWith("data: {")) {
                    out.append(Json.MAPPER
                            .readTree(line.substring("data: ".length()))
                            .at("/choices/0/delta/content")
                            .asText());
                }
                done |= line.equals("data: [DONE]");
            }
            return done ? out.toString() : null;
        }
    }
}
