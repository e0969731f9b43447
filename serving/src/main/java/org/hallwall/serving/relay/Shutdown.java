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

import java.util.LinkedHashMap;
import java.util.Map;

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.config.Route;

/**
 * The planned shutdown of an entry. Decides which requests are still accepted: those that are expected to complete before the process
 * exits. Other entries can serve the rest at once. Except for the state of the shutdown, confined to the I/O thread.
 */
public final class Shutdown {

    /** Describes the shutdown to clients and in the log. */
    static final String REASON = "this entry is shutting down";
    /** Retry-After of requests that another entry can serve immediately, in milliseconds. */
    static final long OTHER_ENTRY_RETRY_MILLIS = 20;
    /** Maximum number of routes whose durations are kept; those without recent requests are dropped first. */
    private static final int MAX_ROUTES = 1_024;

    private static final float LOAD_FACTOR = 0.75f;

    private final Ticker ticker;
    private final Map<String, RequestDurations> durations = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RequestDurations> eldest) {
            return size() > MAX_ROUTES;
        }
    };
    private volatile boolean draining;
    private volatile boolean rejecting;
    private volatile long endAt = Long.MAX_VALUE;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param ticker the clock
     */
    public Shutdown(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Begins the shutdown; the time of its end is not known yet. */
    void begin() {
        draining = true;
    }

    /**
     * Begins the shutdown.
     *
     * @param newEndAt the time at which requests in progress are aborted, in milliseconds
     */
    void begin(long newEndAt) {
        endAt = newEndAt;
        begin();
    }

    /** Returns whether the shutdown has begun. */
    boolean hasBegun() {
        return draining;
    }

    /** Rejects new requests from now on. */
    void rejectNewRequests() {
        rejecting = true;
    }

    /** Returns the time at which requests in progress are aborted, in milliseconds. */
    long endAt() {
        return endAt;
    }

    /**
     * Rejects a request that is not accepted any more, or cannot be expected to complete.
     *
     * @param route the route of the request
     * @param deadlineAt the deadline of the request, in milliseconds
     * @throws RelayRefusal if the request is not accepted
     */
    void check(Route route, long deadlineAt) throws RelayRefusal {
        if (rejecting || !canComplete(route, deadlineAt)) {
            throw refusal();
        }
    }

    /** Returns the refusal of a request that has not run. */
    static RelayRefusal refusal() {
        return RelayRefusal.notRun(REASON, OTHER_ENTRY_RETRY_MILLIS);
    }

    /**
     * Returns whether an attempt that starts now can be expected to complete before requests are aborted.
     *
     * @param route the route of the request
     * @param deadlineAt the deadline of the request, in milliseconds
     * @return true if the deadline is earlier, or nearly all requests of the route are faster
     */
    boolean canComplete(Route route, long deadlineAt) {
        if (deadlineAt <= endAt) {
            return true;
        }
        RequestDurations known = durations.get(route.name());
        return known != null && known.expectedMillis() <= endAt - ticker.millis();
    }

    /**
     * Records the duration of a request that has completed.
     *
     * @param r the request
     */
    void recordDuration(RelayRequest r) {
        durations
                .computeIfAbsent(r.route().name(), n -> new RequestDurations())
                .record(ticker.millis() - r.receivedAt());
    }
}
