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
 * One entry's requests and retries of one service.
 *
 * <p>The bound holds for every window, wherever it begins, and counts the requests of the window itself or of the one before it,
 * whichever are more. The half of both together is never more than that, and unlike the larger of the two it can be added up
 * over entries: callers may move from one entry to another between the windows.
 */
final class RetryAccount {

    /** Parts of a window that are counted apart; a window that begins inside a part loses that part's requests. */
    private static final int PARTS = 40;
    /**
     * Parts by which a retry may reach its target after it was granted: a connection comes up in 350 ms or not at all. Retries that
     * were granted so long before a window count in it too.
     */
    private static final int LATE_PARTS = 2;

    private static final int KEPT = 2 * PARTS + LATE_PARTS + 1;

    private final long partMillis;
    private final long[] requests = new long[KEPT];
    private final long[] retries = new long[KEPT];
    private long latest = Long.MIN_VALUE;

    RetryAccount(long windowMillis) {
        this.partMillis = Math.max(1, windowMillis / PARTS);
    }

    /** Gives the time by which a retry may reach its target after it was granted, in milliseconds. */
    static long lateMillis(long windowMillis) {
        return windowMillis / PARTS * LATE_PARTS;
    }

    void request(long now) {
        requests[index(advance(now))]++;
    }

    /**
     * Takes a retry if no window that ends from now on would hold too many.
     *
     * @param now the clock in milliseconds
     * @param ratio retries allowed for each request
     * @param besides retries allowed besides
     * @return true if it was taken
     */
    boolean tryRetry(long now, double ratio, double besides) {
        long part = advance(now);
        long since = sum(retries, part - LATE_PARTS + 1, part);
        long same = 0;
        long before = sum(requests, part - PARTS + 1, part - 1);
        for (long first = part; first >= part - PARTS; first--) {
            since += retries[index(first - LATE_PARTS)];
            if (since + 1 > ratio * (before + same) / 2 + besides) {
                return false;
            }
            same += requests[index(first)];
            before += requests[index(first - PARTS)] - requests[index(first - 1)];
        }
        retries[index(part)]++;
        return true;
    }

    long requests(long now) {
        long part = advance(now);
        return sum(requests, part - PARTS + 1, part);
    }

    long retries(long now) {
        long part = advance(now);
        return sum(retries, part - PARTS + 1, part);
    }

    /** Forgets what is older than two windows, and gives the current part. */
    private long advance(long now) {
        long part = Math.floorDiv(now, partMillis);
        if (latest == Long.MIN_VALUE || part - latest >= KEPT) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
            latest = part;
        }
        while (latest < part) {
            latest++;
            requests[index(latest)] = 0;
            retries[index(latest)] = 0;
        }
        return latest;
    }

    private static long sum(long[] counts, long first, long last) {
        long out = 0;
        for (long p = first; p <= last; p++) {
            out += counts[index(p)];
        }
        return out;
    }

    private static int index(long part) {
        return (int) Math.floorMod(part, (long) KEPT);
    }
}
