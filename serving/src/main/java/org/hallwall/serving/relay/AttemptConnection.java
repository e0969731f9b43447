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

import java.net.SocketAddress;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import org.hallwall.program.LingeringClose;
import org.hallwall.program.ResponseCorrelation;

/** The connection on which one attempt is sent. Confined to the I/O thread. */
final class AttemptConnection {

    private static final AttributeKey<Runnable> CLOSE_HANDLER =
            AttributeKey.valueOf(AttemptConnection.class, "closeHandler");
    private static final AttributeKey<Boolean> CLOSE_WATCHED =
            AttributeKey.valueOf(AttemptConnection.class, "closeWatched");

    private Channel channel;
    private boolean keptAlive;

    /** Records that the attempt is sent. */
    void recordSend(Channel connection) {
        channel = connection;
        channel.attr(CLOSE_HANDLER).set(null);
    }

    /** Records whether the recipient keeps the connection open after its response. */
    void recordKeepAlive(boolean value) {
        keptAlive = value;
    }

    /** Returns whether the attempt was sent. */
    boolean isSent() {
        return channel != null;
    }

    /** Describes the connection for logs, as the client library does in its own log messages. */
    String describe() {
        return channel == null ? "-" : channel.id().asShortText();
    }

    /** Returns whether other requests were sent on the connection before. */
    boolean isReused() {
        return ResponseCorrelation.isReused(channel);
    }

    /** Returns the address of the recipient. */
    SocketAddress peer() {
        return channel.remoteAddress();
    }

    /** Runs a step when the connection has closed, at once if it has already: the recipient can then no longer read the attempt. */
    void whenClosed(Runnable step) {
        channel.closeFuture().addListener(f -> step.run());
    }

    /** Runs a step if the recipient has kept the connection and closes it before another attempt is sent on it. */
    void whenClosedAfterResponse(Runnable step) {
        if (channel == null || !channel.isActive() || !keptAlive) {
            return;
        }
        boolean first = !channel.hasAttr(CLOSE_WATCHED);
        channel.attr(CLOSE_HANDLER).set(step);
        if (first) {
            channel.attr(CLOSE_WATCHED).set(true);
            channel.closeFuture().addListener(f -> {
                Runnable handler = channel.attr(CLOSE_HANDLER).get();
                if (handler != null) {
                    handler.run();
                }
            });
        }
    }

    /** Closes the connection at once, and discards what the recipient has not received. */
    void abort() {
        LingeringClose.abort(channel);
    }
}
