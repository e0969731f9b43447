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

import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/** Collects the bytes of a body in reserved memory. The capacity is reserved before it is allocated. */
final class ReservedBuffer {

    private static final int INITIAL_BYTES = 1_024;

    private final int maxBytes;
    private final BodyMemory.Reservation memory;
    private byte[] bytes = new byte[0];
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes the maximum size, in bytes
     * @param memory the memory for the body
     */
    ReservedBuffer(int maxBytes, BodyMemory.Reservation memory) {
        this.maxBytes = maxBytes;
        this.memory = memory;
    }

    int size() {
        return size;
    }

    /** Returns whether more bytes fit into the maximum size. */
    boolean fits(int length) {
        return length <= maxBytes - size;
    }

    /** Extends the capacity; returns false if there is not enough memory. */
    boolean tryAllocate(int capacity) {
        if (!memory.tryExtend(capacity)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** Appends a chunk that fits; returns false if there is not enough memory. */
    boolean tryAppend(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (size + length > bytes.length && !tryAllocate(nextCapacity(length))) {
            return false;
        }
        chunk.getBytes(chunk.readerIndex(), bytes, size, length);
        size += length;
        return true;
    }

    private int nextCapacity(int length) {
        return Math.min(maxBytes, Math.max(size + length, Math.max(INITIAL_BYTES, 2 * bytes.length)));
    }

    byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }
}
