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
package org.hallwall.entry.routing;

import java.time.Duration;

/** Exponentially smoothed rate of completed requests per second, used to estimate queueing time. Not thread-safe. */
final class DrainRate {

    private static final long WINDOW_MILLIS = 1_000;
    private static final double SMOOTHING = 0.3;
    private static final Duration DEFAULT_WAIT = Duration.ofSeconds(1);
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    private long windowStartMillis;
    private int completedInWindow;
    private double smoothedRate;

    void recordCompletion(long now) {
        advanceWindow(now);
        completedInWindow++;
    }

    /** Estimates the time in which a number of requests completes. */
    Duration estimateWait(int requests, long now) {
        advanceWindow(now);
        if (smoothedRate <= 0) {
            return DEFAULT_WAIT;
        }
        Duration wait = Duration.ofMillis((long) (requests * WINDOW_MILLIS / smoothedRate));
        return wait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : wait;
    }

    boolean hasEstimate() {
        return smoothedRate > 0;
    }

    private void advanceWindow(long now) {
        while (now - windowStartMillis >= WINDOW_MILLIS) {
            smoothedRate = smoothedRate == 0
                    ? completedInWindow
                    : smoothedRate + SMOOTHING * (completedInWindow - smoothedRate);
            completedInWindow = 0;
            windowStartMillis = now - windowStartMillis > 10 * WINDOW_MILLIS ? now : windowStartMillis + WINDOW_MILLIS;
        }
    }
}
