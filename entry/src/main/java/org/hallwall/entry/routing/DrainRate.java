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

/** Measures how many requests a second leave a queue. Not safe for use by several threads. */
final class DrainRate {

    private static final long WINDOW_MILLIS = 1_000;
    private static final double SMOOTHING = 0.3;
    private static final Duration UNKNOWN = Duration.ofSeconds(1);
    private static final Duration MOST = Duration.ofSeconds(60);

    private long windowAt;
    private int inWindow;
    private double perSecond;

    void note(long now) {
        roll(now);
        inWindow++;
    }

    /** Estimates how long a number of requests takes to leave. */
    Duration timeFor(int requests, long now) {
        roll(now);
        if (perSecond <= 0) {
            return UNKNOWN;
        }
        Duration d = Duration.ofMillis((long) (requests * WINDOW_MILLIS / perSecond));
        return d.compareTo(MOST) > 0 ? MOST : d;
    }

    boolean isKnown() {
        return perSecond > 0;
    }

    private void roll(long now) {
        while (now - windowAt >= WINDOW_MILLIS) {
            perSecond = perSecond == 0 ? inWindow : perSecond + SMOOTHING * (inWindow - perSecond);
            inWindow = 0;
            windowAt = now - windowAt > 10 * WINDOW_MILLIS ? now : windowAt + WINDOW_MILLIS;
        }
    }
}
