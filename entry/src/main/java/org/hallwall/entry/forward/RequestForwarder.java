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
package org.hallwall.entry.forward;

import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.program.InterimResponses;
import org.hallwall.program.ResponseCorrelation;
import org.hallwall.program.SingleUseConnections;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Proxies a caller's request unchanged to another entry and relays the response. */
public final class RequestForwarder {

    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    /** The maximum number of concurrent requests to one entry. */
    private static final int MAX_CONNECTIONS = 500;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final List<String> REQUEST_HEADERS = List.of(
            "Authorization",
            "Content-Type",
            RequestHeaders.IDEMPOTENCY_KEY,
            RequestHeaders.REPEATABLE,
            RequestHeaders.PRIORITY,
            RequestHeaders.DEADLINE);
    private static final List<String> RESPONSE_HEADERS =
            List.of("Content-Type", "Retry-After", "Cache-Control", RequestHeaders.REQUEST_ID);

    private final HttpClient http;

    /** Creates the forwarder. */
    public RequestForwarder() {
        this.http = ResponseCorrelation.withoutIds()
                .enable(InterimResponses.skip(HttpClient.create(SingleUseConnections.builder("forwarded requests")
                        .maxConnections(MAX_CONNECTIONS)
                        .build())))
                .keepAlive(false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .disableRetry(true);
    }

    /**
     * Forwards a request to the first address that accepts a connection.
     *
     * @param req the request
     * @param body its body
     * @param hops the number of times it was already forwarded
     * @param addresses the addresses, tried in order
     * @param unreachable the refusal if none of them can be reached
     * @param res the response to the caller
     * @return completes with the response, or fails with a {@link RefusalException}
     */
    public Mono<Void> forward(
            HttpServerRequest req,
            byte[] body,
            int hops,
            List<NetAddress> addresses,
            RefusalException unreachable,
            HttpServerResponse res) {
        if (addresses.isEmpty()) {
            return Mono.error(unreachable);
        }
        List<NetAddress> rest = addresses.subList(1, addresses.size());
        return http.headers(h -> copyRequestHeaders(req.requestHeaders(), h, hops))
                .request(HttpMethod.valueOf(req.method().name()))
                .uri("http://" + addresses.get(0) + req.uri())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .response((response, bytes) -> relayResponse(response, bytes, res))
                .then()
                .onErrorResume(e -> isConnectFailure(e)
                        ? forward(req, body, hops, rest, unreachable, res)
                        : Mono.error(toRefusal(e)));
    }

    private static void copyRequestHeaders(HttpHeaders from, HttpHeaders to, int hops) {
        for (String name : REQUEST_HEADERS) {
            if (from.contains(name)) {
                to.set(name, from.get(name));
            }
        }
        to.set(RequestHeaders.HOPS, hops + 1);
    }

    /** Relays an event stream as it arrives; any other response is buffered until it is complete. */
    private static Mono<Void> relayResponse(HttpClientResponse response, ByteBufFlux bytes, HttpServerResponse res) {
        boolean streamed = "text/event-stream".equals(response.responseHeaders().get("Content-Type"));
        if (streamed) {
            copyResponseHead(response, res);
            Flux<ByteBuf> events = bytes.retain().onErrorResume(e -> Flux.just(errorEvent()));
            return Mono.from(res.send(events, b -> true));
        }
        return bytes.aggregate().asByteArray().defaultIfEmpty(new byte[0]).flatMap(all -> {
            copyResponseHead(response, res);
            return Mono.from(res.sendByteArray(Mono.just(all)));
        });
    }

    private static void copyResponseHead(HttpClientResponse response, HttpServerResponse res) {
        res.status(response.status());
        for (Map.Entry<String, String> h : response.responseHeaders()) {
            if (RESPONSE_HEADERS.stream().anyMatch(n -> n.equalsIgnoreCase(h.getKey()))) {
                res.header(h.getKey(), h.getValue());
            }
        }
    }

    private static ByteBuf errorEvent() {
        String problem = "{\"type\":\"target-failed\",\"status\":502,\"verdict\":\"RAN\","
                + "\"detail\":\"the entry that ran the request was lost\"}";
        return Unpooled.copiedBuffer("event: error\ndata: " + problem + "\n\n", StandardCharsets.UTF_8);
    }

    private static boolean isConnectFailure(Throwable e) {
        return e instanceof ConnectException || e instanceof ConnectTimeoutException;
    }

    private static Throwable toRefusal(Throwable e) {
        return e instanceof RefusalException
                ? e
                : new RefusalException(
                        ProblemType.TARGET_FAILED,
                        Verdict.MAY_HAVE_RUN,
                        "the connection to the entry that runs the request failed",
                        RETRY_AFTER);
    }
}
