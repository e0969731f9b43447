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

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.hallwall.core.verdict.Verdict;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Writes responses to clients and to entries that have forwarded a request. */
final class ResponseWriter {

    private static final Logger LOG = Logger.getLogger(RelayServer.class);
    private static final double MILLIS_PER_SECOND = 1_000.0;
    /** Size of the pieces in which a body is written, in bytes. */
    private static final int PIECE_BYTES = 8_192;

    private final RelayContext context;

    ResponseWriter(RelayContext context) {
        this.context = context;
    }

    /** Writes a complete response. */
    Mono<Void> writeBuffered(HttpServerResponse res, BufferedResponse a) {
        closeIfDraining(res);
        res.status(a.status());
        copyHeaders(res, a.headers());
        return writeBody(res, a.body());
    }

    /** Writes a stream event by event; closes the connection if it cannot be completed. */
    Mono<Void> writeStream(
            HttpServerRequest req, HttpServerResponse res, StreamRun.Head head, Flux<ByteBuf> events, Channel channel) {
        closeIfDraining(res);
        res.status(head.status());
        copyHeaders(res, head.headers());
        boolean chunked = !HttpVersion.HTTP_1_0.equals(req.version());
        if (!chunked) {
            res.chunkedTransfer(false);
            res.keepAlive(false);
        }
        return res.send(events.doOnError(e -> closeIncomplete(channel, chunked)), b -> true)
                .then();
    }

    /** Lets the client send its next request to another entry. */
    private void closeIfDraining(HttpServerResponse res) {
        if (context.shutdown().hasBegun()) {
            res.keepAlive(false);
        }
    }

    /** Without chunks, only a reset distinguishes an incomplete response from a complete one. */
    private static void closeIncomplete(Channel channel, boolean chunked) {
        if (!chunked) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    /** Writes and logs a refusal. */
    Mono<Void> writeRefusal(HttpServerRequest req, HttpServerResponse res, RelayRefusal e) {
        LOG.infof(
                "request %s: refused with %d, %s: %s (configuration %d)",
                req.requestHeaders().get(context.headerNames().attemptId()),
                e.status(),
                e.verdict(),
                e.getMessage(),
                context.state().routes().configuration().version());
        context.metrics().countRefusal(e.status());
        if (e.retryAfterMillis() > 0) {
            res.header(HttpHeaderNames.RETRY_AFTER, Double.toString(e.retryAfterMillis() / MILLIS_PER_SECOND));
        }
        if (ForwardHeaders.isForwarded(req.requestHeaders())) {
            ForwardHeaders.writeVerdict(res.responseHeaders(), e.verdict());
            RequestHistory before = ForwardHeaders.readHistory(req.requestHeaders());
            RequestHistory after = e.history().isEmpty() ? before : e.history();
            if (after != null) {
                ForwardHeaders.writeHistory(res.responseHeaders(), after);
            }
        }
        closeIfDraining(res);
        res.status(e.status());
        res.header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return writeBody(res, (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Responds to a request that has ended with an error of any type. After the head of a response, the connection is closed instead, so
     * that the client notices that the response is incomplete.
     */
    Mono<Void> writeError(HttpServerRequest req, HttpServerResponse res, Throwable e, Channel channel) {
        RelayRefusal refusal = e instanceof RelayRefusal r
                ? r
                : new RelayRefusal(
                        502,
                        Verdict.MAY_HAVE_RUN,
                        "internal error, " + e.getClass().getSimpleName(),
                        0);
        if (AbortedException.isConnectionReset(e)) {
            logCancelled(req, res);
            return Mono.empty();
        }
        if (refusal != e) {
            context.metrics().countIncomplete("error");
            LOG.errorf(
                    e,
                    "request %s: failed with an unexpected error",
                    req.requestHeaders().get(context.headerNames().attemptId()));
        }
        if (res.hasSentHeaders()) {
            channel.close();
            return Mono.empty();
        }
        removeTargetHeaders(res.responseHeaders());
        return writeRefusal(req, res, refusal);
    }

    /** Removes headers that were copied from a response which could not be written. */
    private static void removeTargetHeaders(HttpHeaders headers) {
        String connection = headers.get(HttpHeaderNames.CONNECTION);
        headers.clear();
        if (connection != null) {
            headers.set(HttpHeaderNames.CONNECTION, connection);
        }
    }

    /** Logs that the client has closed the connection before the head of the response. */
    void logCancelled(HttpServerRequest req, HttpServerResponse res) {
        // a response to a request whose body is not read also cancels the exchange once it has been written
        if (!res.hasSentHeaders()) {
            context.metrics().countIncomplete("closed");
            LOG.infof(
                    "request %s: connection was closed before the response",
                    req.requestHeaders().get(context.headerNames().attemptId()));
        }
    }

    private static ByteBuf piece(byte[] body, int from) {
        return Unpooled.wrappedBuffer(body, from, Math.min(PIECE_BYTES, body.length - from));
    }

    private static void copyHeaders(HttpServerResponse res, HttpHeaders from) {
        HttpHeaders out = res.responseHeaders();
        from.forEach(h -> out.add(h.getKey(), h.getValue()));
    }

    private static Mono<Void> writeBody(HttpServerResponse res, byte[] body) {
        res.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        int pieces = (body.length + PIECE_BYTES - 1) / PIECE_BYTES;
        if (pieces <= 1) {
            return res.sendByteArray(Mono.just(body)).then();
        }
        // the connection copies what is written to direct memory
        Flux<ByteBuf> written = Flux.range(0, pieces).map(i -> piece(body, i * PIECE_BYTES));
        return res.send(written, b -> true).then();
    }
}
