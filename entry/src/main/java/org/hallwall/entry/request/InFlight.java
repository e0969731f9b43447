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

/** Counts the requests in progress, so that a planned stop can wait for them. Safe for use by several threads. */
public final class InFlight {

    private final AtomicInteger count = new AtomicInteger();
    private volatile boolean stopping;

    /** Notes that a request began. */
    public void began() {
        count.incrementAndGet();
    }

    /** Notes that a request ended. */
    public void ended() {
        count.decrementAndGet();
    }

    /**
     * Counts the requests in progress.
     *
     * @return how many
     */
    public int count() {
        return count.get();
    }

    /** Refuses new requests from now on. */
    public void stopTaking() {
        stopping = true;
    }

    /**
     * Says whether new requests are refused.
     *
     * @return true if they are
     */
    public boolean isStopping() {
        return stopping;
    }
}
