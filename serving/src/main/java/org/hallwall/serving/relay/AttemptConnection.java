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
import org.hallwall.program.LingeringClose;
import org.hallwall.program.ResponseCorrelation;

/** The connection on which one attempt is sent. Confined to the I/O thread. */
final class AttemptConnection {

    private Channel channel;

    /** Records that the attempt is sent. */
    void recordSend(Channel connection) {
        channel = connection;
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

    /** Closes the connection at once, and discards what the recipient has not received. */
    void abort() {
        LingeringClose.abort(channel);
    }
}
