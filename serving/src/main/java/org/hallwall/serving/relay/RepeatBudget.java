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

import java.util.Locale;

import org.hallwall.core.time.Ticker;

/**
 * Bounds how many requests are sent a second time, over a sliding window. The bound of the whole system is shared by the live
 * entries; each spends less than its part.
 */
public final class RepeatBudget {

    /** The part of the share that is spent; the rest covers entries that have just come or gone. */
    private static final double SPENT_PART = 0.7;

    private static final int BUCKETS = 20;

    private final double ratio;
    private final double extra;
    private final long bucketMillis;
    private final Ticker ticker;
    private final long[] requests = new long[BUCKETS];
    private final long[] repeats = new long[BUCKETS];
    private final long[] stamps = new long[BUCKETS];
    private int entries = 1;

    /**
     * Creates a budget.
     *
     * @param ratio repeats allowed for each request
     * @param extra repeats allowed besides, over the whole system
     * @param windowMillis the window, in milliseconds
     * @param ticker the clock
     */
    public RepeatBudget(double ratio, double extra, long windowMillis, Ticker ticker) {
        this.ratio = ratio;
        this.extra = extra;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
        this.ticker = ticker;
    }

    /**
     * Sets how many entries share the budget.
     *
     * @param count how many
     */
    public void entries(int count) {
        entries = Math.max(1, count);
    }

    /** Counts a request of a caller. */
    public void request() {
        requests[bucket()]++;
    }

    /**
     * Takes a repeat if the budget allows it.
     *
     * @return true if the request may be sent again
     */
    public boolean tryRepeat() {
        int b = bucket();
        double allowed = (ratio * sum(requests) + extra / entries) * SPENT_PART;
        if (sum(repeats) + 1 > allowed) {
            return false;
        }
        repeats[b]++;
        return true;
    }

    /** Tells the account, for logs: what was spent, what is allowed, and what that was worked out from. */
    String describe() {
        long requested = sum(requests);
        double allowed = (ratio * requested + extra / entries) * SPENT_PART;
        return String.format(
                Locale.ROOT,
                "%d repeats of %.1f in the window, %d requests, one of %d entries",
                sum(repeats),
                allowed,
                requested,
                entries);
    }

    private int bucket() {
        long stamp = ticker.millis() / bucketMillis;
        int b = (int) Math.floorMod(stamp, (long) BUCKETS);
        if (stamps[b] != stamp) {
            stamps[b] = stamp;
            requests[b] = 0;
            repeats[b] = 0;
        }
        return b;
    }

    private long sum(long[] counts) {
        long oldest = ticker.millis() / bucketMillis - BUCKETS;
        long out = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (stamps[i] > oldest) {
                out += counts[i];
            }
        }
        return out;
    }
}
