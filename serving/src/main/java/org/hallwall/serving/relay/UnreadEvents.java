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

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import reactor.core.publisher.Flux;

/** Limits the events of a stream that its client has not read. Confined to one I/O thread. */
final class UnreadEvents {

    /** Maximum size of unread events before another one is added, in bytes; an event of the maximum size fits. */
    static final int MAX_BYTES = 1 << 20;

    private final Channel client;
    private final BodyMemory.Reservation memory;
    private long queuedBytes;

    /**
     * Creates an empty queue's limit.
     *
     * @param client the connection of the client
     * @param memory the memory for unread events
     */
    UnreadEvents(Channel client, BodyMemory.Reservation memory) {
        this.client = client;
        this.memory = memory;
    }

    /** Adds an event; returns false if the client is too far behind. */
    boolean tryAdd(int eventBytes) {
        long unread = bytes();
        if (unread > MAX_BYTES || !memory.tryResize(unread)) {
            return false;
        }
        queuedBytes += eventBytes;
        return true;
    }

    /** Returns the events, which are no longer queued once they are written to the connection. */
    Flux<ByteBuf> track(Flux<ByteBuf> events) {
        return events.doOnNext(e -> queuedBytes -= e.readableBytes());
    }

    /** Returns the size of the events in the queue and in the buffer of the connection, in bytes. */
    private long bytes() {
        ChannelOutboundBuffer written = client.unsafe().outboundBuffer();
        return queuedBytes + (written == null ? 0 : written.totalPendingWriteBytes());
    }

    /** Resets the connection of the client, since an error would wait behind the unread events. */
    void disconnect() {
        client.config().setOption(ChannelOption.SO_LINGER, 0);
        client.close();
    }

    String describe() {
        return "the client has not read " + bytes() + " bytes, the limit is " + MAX_BYTES + ", " + memory.describe();
    }
}
