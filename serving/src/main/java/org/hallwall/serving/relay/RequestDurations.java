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

/** The durations of the latest requests of a route. Confined to the I/O thread. */
final class RequestDurations {

    /** Number of the latest requests that count. */
    private static final int SAMPLES = 32;
    /** Number of requests before the durations are representative. */
    private static final int MIN_SAMPLES = 8;
    /** The fraction of requests that take at most the expected time. */
    private static final double QUANTILE = 0.95;

    private final int[] millis = new int[SAMPLES];
    private int count;

    /**
     * Records a request that has completed.
     *
     * @param durationMillis the time from its head to the end of its response, in milliseconds
     */
    void record(long durationMillis) {
        millis[count % SAMPLES] = (int) Math.min(Integer.MAX_VALUE, durationMillis);
        // the position in the ring must not change when the count is limited
        count = count == 2 * SAMPLES - 1 ? SAMPLES : count + 1;
    }

    /**
     * Returns the time in which nearly all requests complete.
     *
     * @return the time in milliseconds; {@link Long#MAX_VALUE} if there were too few requests
     */
    long expectedMillis() {
        if (count < MIN_SAMPLES) {
            return Long.MAX_VALUE;
        }
        int[] sorted = Arrays.copyOf(millis, Math.min(count, SAMPLES));
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(QUANTILE * sorted.length) - 1];
    }
}
