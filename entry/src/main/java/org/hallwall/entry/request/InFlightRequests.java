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
package org.hallwall.entry.request;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests in progress, so that a graceful shutdown can wait for them. Thread-safe. */
public final class InFlightRequests {

    private final AtomicInteger count = new AtomicInteger();
    private volatile boolean stopping;

    /** Records the start of a request. */
    public void requestStarted() {
        count.incrementAndGet();
    }

    /** Records the end of a request. */
    public void requestEnded() {
        count.decrementAndGet();
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of requests
     */
    public int count() {
        return count.get();
    }

    /** Makes the server refuse new requests. */
    public void beginShutdown() {
        stopping = true;
    }

    /**
     * Returns whether new requests are refused.
     *
     * @return true after the shutdown has begun
     */
    public boolean isStopping() {
        return stopping;
    }
}
