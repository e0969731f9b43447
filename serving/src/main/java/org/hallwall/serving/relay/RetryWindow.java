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

/**
 * Sliding-window counts of the requests and retries of one service at one entry.
 *
 * <p>The bound holds for every window and is based on the requests of the window or of the previous one, whichever is
 * larger. The implementation uses the mean of the two: it never exceeds the larger one and can be summed over entries
 * even if clients move between entries.
 */
final class RetryWindow {

    /** Buckets per window; a window that starts within a bucket loses the requests of this bucket. */
    private static final int BUCKETS = 40;
    /**
     * Buckets between the last evidence about a retry and its arrival at a target. Retries settled this long before a window
     * count in it too.
     */
    private static final int DELIVERY_BUCKETS = 2;

    private static final int RETAINED_BUCKETS = 2 * BUCKETS + DELIVERY_BUCKETS + 1;

    private final long bucketMillis;
    private final long[] requests = new long[RETAINED_BUCKETS];
    private final long[] retries = new long[RETAINED_BUCKETS];
    /** Written by the I/O thread, read by others for metrics. */
    private volatile int openCharges;

    private long latestBucket = Long.MIN_VALUE;

    RetryWindow(long windowMillis) {
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /** Returns the maximum time between the last evidence about a retry and its arrival at a target, in milliseconds. */
    static long deliveryMillis(long windowMillis) {
        return windowMillis / BUCKETS * DELIVERY_BUCKETS;
    }

    void recordRequest(long now) {
        requests[index(advance(now))]++;
    }

    /**
     * Acquires a retry if no window that ends now or later would exceed its bound.
     *
     * <p>Open retries may all arrive in a window without requests, whatever has paid for them.
     *
     * @param now the current time, in milliseconds
     * @param ratio retries allowed per request
     * @param extra additional retries allowed per window
     * @param maxOpen open retries allowed at once
     * @return the charge of the retry; null if it is refused
     */
    RetryCharge tryRetry(long now, double ratio, double extra, double maxOpen) {
        if (openCharges + 1 > maxOpen || !isWithin(now, 1, ratio, extra)) {
            return null;
        }
        return charge();
    }

    /** Charges a repeat that another entry was allowed to send. */
    RetryCharge charge() {
        openCharges++;
        return new RetryCharge(this);
    }

    /** Returns whether no retry is open and requests have paid for all others. */
    boolean isPaid(long now, double ratio) {
        return openCharges == 0 && isWithin(now, 0, ratio, 0);
    }

    /** Returns whether no window that ends now or later exceeds its bound with some retries more. */
    private boolean isWithin(long now, int more, double ratio, double extra) {
        long bucket = advance(now);
        long retriesInWindow = openCharges + sum(retries, bucket - DELIVERY_BUCKETS + 1, bucket);
        long requestsInWindow = 0;
        long requestsBefore = sum(requests, bucket - BUCKETS + 1, bucket - 1);
        for (long first = bucket; first >= bucket - BUCKETS; first--) {
            retriesInWindow += retries[index(first - DELIVERY_BUCKETS)];
            if (retriesInWindow + more > ratio * (requestsBefore + requestsInWindow) / 2 + extra) {
                return false;
            }
            requestsInWindow += requests[index(first)];
            requestsBefore += requests[index(first - BUCKETS)] - requests[index(first - 1)];
        }
        return true;
    }

    /** Records that an open charge was settled. */
    void recordSettled(long now) {
        openCharges--;
        retries[index(advance(now))]++;
    }

    /** Returns the number of retries that may still arrive at their targets. */
    int openCharges() {
        return openCharges;
    }

    long requests(long now) {
        long bucket = advance(now);
        return sum(requests, bucket - BUCKETS + 1, bucket);
    }

    long retries(long now) {
        long bucket = advance(now);
        return openCharges + sum(retries, bucket - BUCKETS + 1, bucket);
    }

    /** Clears expired buckets and returns the current one. */
    private long advance(long now) {
        long bucket = Math.floorDiv(now, bucketMillis);
        if (latestBucket == Long.MIN_VALUE || bucket - latestBucket >= RETAINED_BUCKETS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
            latestBucket = bucket;
        }
        while (latestBucket < bucket) {
            latestBucket++;
            requests[index(latestBucket)] = 0;
            retries[index(latestBucket)] = 0;
        }
        return latestBucket;
    }

    private static long sum(long[] counts, long first, long last) {
        long out = 0;
        for (long bucket = first; bucket <= last; bucket++) {
            out += counts[index(bucket)];
        }
        return out;
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) RETAINED_BUCKETS);
    }
}
