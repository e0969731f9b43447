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

import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.http.client.HttpClient;

/**
 * Lets the end of a connection tell that its peer can no longer read an abandoned request. A connection that the client closes before the
 * response has begun is closed for output only, and entirely when the peer closes it too or responds. A peer that has stopped does neither until
 * it has read the request. Such a connection counts in the pool of the client. Confined to one I/O thread.
 */
public final class LingeringClose {

    private final int maxConnections;
    private final Map<SocketAddress, Integer> connections = new HashMap<>();

    /**
     * Creates the behaviour of a client.
     *
     * @param maxConnections the maximum number of connections to one peer that linger; others are closed at once
     */
    public LingeringClose(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Configures a client to close connections this way.
     *
     * @param client the client, which uses HTTP/1.1
     * @return the configured client
     */
    public HttpClient enable(HttpClient client) {
        return client.doOnChannelInit(
                (observer, channel, address) -> channel.pipeline().addFirst(new Handler()));
    }

    /**
     * Closes a connection at once, and discards what its peer has not received.
     *
     * @param channel the connection
     */
    public static void abort(Channel channel) {
        ChannelHandlerContext context = channel.pipeline().context(Handler.class);
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        if (context == null) {
            channel.close();
        } else {
            context.close();
        }
    }

    /** Counts a connection among those that linger until it closes; returns whether there are not too many. */
    private boolean tryAcquire(Channel channel) {
        SocketAddress peer = channel.remoteAddress();
        if (connections.getOrDefault(peer, 0) >= maxConnections) {
            return false;
        }
        connections.merge(peer, 1, Integer::sum);
        channel.closeFuture().addListener(f -> connections.computeIfPresent(peer, (p, n) -> n == 1 ? null : n - 1));
        return true;
    }

    private final class Handler extends ChannelDuplexHandler {

        private boolean awaitingResponse;
        private boolean lingering;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            awaitingResponse = true;
            super.write(context, message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            CorrelationHandler correlation = context.pipeline().get(CorrelationHandler.class);
            if (correlation == null && lingering) {
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            super.channelRead(context, message);
            // bytes of a stale response do not show that the peer has read the request
            awaitingResponse = correlation != null && correlation.isUnanswered();
            if (lingering && !awaitingResponse) {
                context.close();
            }
        }

        @Override
        public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
            if (lingering) {
                promise.trySuccess();
                return;
            }
            boolean unanswered = awaitingResponse && context.channel().isActive();
            if (unanswered && context.channel() instanceof DuplexChannel channel && tryAcquire(channel)) {
                linger(context, channel);
                promise.trySuccess();
                return;
            }
            super.close(context, promise);
        }

        private void linger(ChannelHandlerContext context, DuplexChannel channel) {
            lingering = true;
            channel.config().setAutoRead(true);
            channel.shutdownOutput().addListener(f -> {
                if (!f.isSuccess()) {
                    context.close();
                }
            });
        }
    }
}
