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
package org.hallwall.engine;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.hallwall.core.id.AttemptId;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.verdict.Verdict;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** The HTTP client for engines. */
public final class EngineClient {

    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS = 4_096;
    /** Maximum size of a response that is not a run, in bytes. */
    private static final int MAX_TEXT_BYTES = 65_536;

    private final HttpClient http;

    /**
     * Creates a client.
     *
     * @param http the HTTP client, which skips interim responses
     */
    public EngineClient(HttpClient http) {
        this.http = http.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .keepAlive(false)
                .disableRetry(true);
    }

    /**
     * Creates a connection pool for engines, whose connections serve one request each: responses to orders and cancellations, and
     * refusals, carry no id of their request, so on a connection that is used again a stale one could not be told apart.
     *
     * @return the pool
     */
    public static ConnectionProvider createPool() {
        return ConnectionProvider.builder("engines")
                .maxConnections(MAX_CONNECTIONS)
                .pendingAcquireMaxCount(MAX_CONNECTIONS)
                .evictionPredicate((connection, metadata) -> metadata.acquireCount() > 0)
                .build();
    }

    /**
     * Sends an order.
     *
     * @param address the target
     * @param order the order
     * @return completion, or an {@link EngineException}
     */
    public Mono<Void> sendOrder(NetAddress address, EngineOrder order) {
        return http.post()
                .uri(uri(address, EnginePaths.ORDERS))
                .send(body(order))
                .response((res, bytes) -> readText(bytes)
                        .flatMap(text -> isOk(res) ? Mono.<Void>empty() : Mono.error(refusal(res, text))))
                .then()
                .timeout(ORDER_TIMEOUT)
                .onErrorMap(EngineClient::toEngineException);
    }

    /**
     * Starts a run.
     *
     * @param address the first member of the group
     * @param run the run
     * @return the frames in batches as they are received, or an {@link EngineException}
     */
    public Flux<List<RunFrame>> startRun(NetAddress address, EngineRun run) {
        return http.headers(h -> h.set("Content-Type", "application/json"))
                .post()
                .uri(uri(address, EnginePaths.RUNS))
                .send(body(run))
                .response(EngineClient::decodeFrames)
                .onErrorMap(EngineClient::toEngineException);
    }

    /**
     * Resumes a run after a lost connection.
     *
     * @param address the first member of the group
     * @param attempt the attempt
     * @param from the number of the first frame to receive
     * @return the frames in batches as they are received, or an {@link EngineException}
     */
    public Flux<List<RunFrame>> resumeRun(NetAddress address, AttemptId attempt, int from) {
        return http.get()
                .uri(uri(address, EnginePaths.RUNS + "/" + attempt + "?from=" + from))
                .response(EngineClient::decodeFrames)
                .onErrorMap(EngineClient::toEngineException);
    }

    /**
     * Cancels a run. A run that has not started yet is rejected if it arrives later.
     *
     * @param address the first member of the group
     * @param attempt the attempt
     * @return whether the engine had started the run, or an {@link EngineException}
     */
    public Mono<RunCancelled> cancelRun(NetAddress address, AttemptId attempt) {
        return http.delete()
                .uri(uri(address, EnginePaths.RUNS + "/" + attempt))
                .response((res, bytes) -> readText(bytes).flatMap(EngineClient::parseCancelled))
                .next()
                .timeout(CANCEL_TIMEOUT)
                .onErrorMap(EngineClient::toEngineException);
    }

    private static Mono<RunCancelled> parseCancelled(String text) {
        try {
            return Mono.just(Json.MAPPER.readValue(text, RunCancelled.class));
        } catch (JsonProcessingException e) {
            return Mono.error(new EngineException(
                    Verdict.MAY_HAVE_RUN, "the engine sent a malformed response to a cancellation"));
        }
    }

    private static Flux<List<RunFrame>> decodeFrames(HttpClientResponse res, ByteBufFlux bytes) {
        if (!isOk(res)) {
            return readText(bytes).flux().flatMap(t -> Flux.error(refusal(res, t)));
        }
        RunFrameDecoder decoder = new RunFrameDecoder();
        return bytes.handle((b, sink) -> {
            try {
                List<RunFrame> batch = decoder.decode(b);
                if (!batch.isEmpty()) {
                    sink.next(batch);
                }
            } catch (IOException e) {
                sink.error(new EngineException(Verdict.MAY_HAVE_RUN, "the engine sent a malformed frame"));
            }
        });
    }

    /** Reads a response that is not a run. If it is too large, reading is cancelled, which closes the connection. */
    private static Mono<String> readText(ByteBufFlux bytes) {
        return bytes.asByteArray()
                .collect(ByteArrayOutputStream::new, EngineClient::append)
                .map(out -> out.toString(StandardCharsets.UTF_8))
                .onErrorMap(Exceptions::unwrap);
    }

    private static void append(ByteArrayOutputStream out, byte[] chunk) {
        if (chunk.length > MAX_TEXT_BYTES - out.size()) {
            throw Exceptions.propagate(new EngineException(
                    Verdict.MAY_HAVE_RUN, "the engine sent a response of more than " + MAX_TEXT_BYTES + " bytes"));
        }
        out.writeBytes(chunk);
    }

    private static boolean isOk(HttpClientResponse res) {
        return res.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /**
     * Converts an error response. By the engine interface, an error status other than 404 means that the run was not
     * started.
     */
    private static EngineException refusal(HttpClientResponse res, String text) {
        HttpResponseStatus status = res.status();
        boolean unknownRun = status.code() == HttpResponseStatus.NOT_FOUND.code();
        Verdict verdict = unknownRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return new EngineException(verdict, "the engine responded with status " + status.code() + " " + text.strip());
    }

    private static Throwable toEngineException(Throwable e) {
        if (e instanceof EngineException) {
            return e;
        }
        if (e instanceof ConnectException || e instanceof ConnectTimeoutException) {
            return new EngineException(Verdict.NOT_RUN, "the engine is unreachable");
        }
        return new EngineException(Verdict.MAY_HAVE_RUN, "the connection to the engine failed: " + e.getMessage());
    }

    private static Mono<ByteBuf> body(Object value) {
        return Mono.fromCallable(() ->
                Unpooled.wrappedBuffer(Json.MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8)));
    }

    private static String uri(NetAddress address, String path) {
        return "http://" + address + path;
    }
}
