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

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that the bodies of all requests in flight hold together. */
public final class BodyMemory {

    /** Maximum size of a body that may use the part kept free of larger ones, in bytes. */
    static final int SMALL_BODY_BYTES = 65_536;

    /** Part of the heap for bodies; the rest is for the process and a configuration that is being parsed. */
    private static final double HEAP_FRACTION = 0.375;

    /** Part of the memory for bodies that larger ones may use. */
    private static final double LARGE_FRACTION = 2.0 / 3;

    private final long maxBytes;
    private final long maxLargeBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates a limit.
     *
     * @param maxBytes the memory for bodies, in bytes
     */
    BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
        this.maxLargeBytes = (long) (maxBytes * LARGE_FRACTION);
    }

    /**
     * Creates a limit for this process.
     *
     * @return the limit
     */
    public static BodyMemory ofProcess() {
        return new BodyMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION));
    }

    /** Returns a reservation for the body of one request; empty at first. */
    Reservation open() {
        return new Reservation();
    }

    /** Returns what all requests have reserved, in bytes. */
    long reservedBytes() {
        return reservedBytes.get();
    }

    private boolean tryReserve(long bytes, long limit) {
        if (reservedBytes.addAndGet(bytes) <= limit) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /** The memory of one body, until its request ends. */
    final class Reservation {

        private long heldBytes;
        private boolean released;

        private Reservation() {}

        /**
         * Extends the reservation.
         *
         * @param bytes the size of the body, in bytes
         * @return false if there is not enough memory, or the request has ended
         */
        synchronized boolean tryExtend(long bytes) {
            if (released) {
                return false;
            }
            if (bytes <= heldBytes) {
                return true;
            }
            if (!tryReserve(bytes - heldBytes, bytes <= SMALL_BODY_BYTES ? maxBytes : maxLargeBytes)) {
                return false;
            }
            heldBytes = bytes;
            return true;
        }

        /** Releases the memory; the request has ended. */
        synchronized void release() {
            if (!released) {
                released = true;
                reservedBytes.addAndGet(-heldBytes);
            }
        }
    }
}
