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

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that the bodies of all requests in flight and of their responses hold together. */
public final class BodyMemory {

    /** Maximum size of a body that may use the part kept free of larger ones, in bytes. */
    static final int SMALL_BODY_BYTES = 65_536;

    /** Part of the heap for bodies; the rest is for the process and a configuration that is being parsed. */
    private static final double HEAP_FRACTION = 0.375;

    /** Part of the memory for bodies that larger ones of requests may use. */
    private static final double LARGE_REQUEST_FRACTION = 2.0 / 3;
    /** Part of the memory for bodies that larger ones of responses may use too; a request has run then, and new ones can be refused. */
    private static final double LARGE_RESPONSE_FRACTION = 5.0 / 6;

    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates a limit.
     *
     * @param maxBytes the memory for bodies, in bytes
     */
    BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
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
        return new Reservation(LARGE_REQUEST_FRACTION);
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

        private final long maxLargeBytes;
        private final List<Reservation> responses = new ArrayList<>();
        private long heldBytes;
        private boolean released;

        private Reservation(double largeFraction) {
            this.maxLargeBytes = (long) (maxBytes * largeFraction);
        }

        /** Returns a reservation for a response to the request, which is released with this one at the latest; empty at first. */
        synchronized Reservation openResponse() {
            Reservation response = new Reservation(LARGE_RESPONSE_FRACTION);
            response.released = released;
            responses.add(response);
            return response;
        }

        /**
         * Extends the reservation.
         *
         * @param bytes the size of the body, in bytes
         * @return false if there is not enough memory, or the request has ended
         */
        synchronized boolean tryExtend(long bytes) {
            return !released && (bytes <= heldBytes || tryResize(bytes));
        }

        /**
         * Changes the size of the reservation.
         *
         * @param bytes the size, in bytes
         * @return false if there is not enough memory, or the request has ended
         */
        synchronized boolean tryResize(long bytes) {
            if (released) {
                return false;
            }
            if (bytes <= heldBytes) {
                reservedBytes.addAndGet(bytes - heldBytes);
            } else if (!tryReserve(bytes - heldBytes, bytes <= SMALL_BODY_BYTES ? maxBytes : maxLargeBytes)) {
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
                responses.forEach(Reservation::release);
            }
        }

        /** Describes the memory in use for logs. */
        String describe() {
            return reservedBytes.get() + " of " + maxBytes + " bytes for bodies are in use";
        }
    }
}
