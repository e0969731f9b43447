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

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.netty.NettyOutbound;
import reactor.netty.NettyPipeline;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.client.HttpClient;
import reactor.util.retry.Retry;

/**
 * Matches responses on pooled connections to the requests that were sent on them. A server may respond to a request more than once, and a
 * second response may arrive at any time. Therefore a connection is closed if it receives bytes while no response is awaited, a stale response
 * to an earlier request is discarded, and no two requests with the same id are sent on one connection.
 */
public final class ResponseCorrelation {

    private static final String HANDLER = "responseCorrelation";
    private static final int DEFAULT_MAX_HEAD_BYTES = 65_536;

    private final String idHeader;
    private final int maxHeadBytes;

    /**
     * Creates the behaviour of a client.
     *
     * @param idHeader the header that carries the id of a request, and in which the server returns it; null if requests have no id
     * @param maxHeadBytes the maximum size of a response head, in bytes
     */
    public ResponseCorrelation(String idHeader, int maxHeadBytes) {
        this.idHeader = idHeader;
        this.maxHeadBytes = maxHeadBytes;
    }

    /**
     * Creates the behaviour of a client whose requests have no id and whose connections serve one request each.
     *
     * @return the behaviour
     */
    public static ResponseCorrelation withoutIds() {
        return new ResponseCorrelation(null, DEFAULT_MAX_HEAD_BYTES);
    }

    /**
     * Configures a client to match responses this way. Replaces its HTTP codec, whose unread bytes are not accessible.
     *
     * @param client the client, which uses HTTP/1.1
     * @return the configured client
     */
    public HttpClient enable(HttpClient client) {
        return client.doOnChannelInit((observer, channel, address) -> install(channel.pipeline()));
    }

    private void install(ChannelPipeline pipeline) {
        CorrelatedResponseDecoder decoder = new CorrelatedResponseDecoder(maxHeadBytes);
        pipeline.replace(
                NettyPipeline.HttpCodec,
                NettyPipeline.HttpCodec,
                new CombinedChannelDuplexHandler<>(decoder, new HttpRequestEncoder()));
        pipeline.addAfter(NettyPipeline.HttpCodec, HANDLER, new CorrelationHandler(idHeader, decoder));
    }

    /**
     * Returns why a request cannot be sent on a connection that was taken from the pool, and closes such a connection.
     *
     * @param out the connection
     * @param id the id of the request
     * @return the reason if the connection is closed, or if a request with this id was sent on it before
     */
    public static Optional<ConnectionNotReusableException> findConflict(NettyOutbound out, String id) {
        AtomicReference<String> reason = new AtomicReference<>();
        out.withConnection(c -> {
            reason.set(findConflict(c.channel(), id));
            if (reason.get() != null) {
                c.channel().close();
            }
        });
        return Optional.ofNullable(reason.get()).map(ConnectionNotReusableException::new);
    }

    /**
     * Returns whether other requests were sent on a connection before the latest one, so that a response may belong to any of them.
     *
     * @param channel the connection
     * @return true if the connection was used before
     */
    public static boolean isReused(Channel channel) {
        return channel.pipeline().get(CorrelationHandler.class).isReused();
    }

    private static String findConflict(Channel channel, String id) {
        if (!channel.isActive()) {
            return "the connection is closed";
        }
        CorrelationHandler handler = channel.pipeline().get(CorrelationHandler.class);
        return handler.hasSent(id) ? "a request with this id was sent on the connection before" : null;
    }

    /**
     * Sends a request on another connection if nothing was sent, after a {@link ConnectionNotReusableException} or because the connection
     * has closed.
     *
     * @param response sends the request when subscribed
     * @param isSent whether the request was sent
     * @param maxConnections the maximum number of pooled connections to the server
     * @param <T> the type of the response
     * @return the response
     */
    public static <T> Flux<T> retryOnOtherConnections(
            Publisher<T> response, BooleanSupplier isSent, int maxConnections) {
        return Flux.from(response)
                .retryWhen(Retry.max(maxConnections).filter(e -> !isSent.getAsBoolean() && isUnusableConnection(e)));
    }

    /** The client may report a connection that {@link #findConflict} has closed by an exception of its own. */
    private static boolean isUnusableConnection(Throwable e) {
        return e instanceof ConnectionNotReusableException || e instanceof AbortedException;
    }
}
