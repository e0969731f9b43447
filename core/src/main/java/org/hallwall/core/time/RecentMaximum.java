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
package org.hallwall.core.time;

/** Tracks the maximum of recent values over two alternating windows. */
public final class RecentMaximum {

    private final long windowMillis;
    private final Ticker ticker;
    private long windowStart;
    private int current;
    private int previous;

    /**
     * Creates the tracker without any value.
     *
     * @param windowMillis the minimum time in milliseconds that a value is retained; it is dropped after at most twice
     *     that time
     * @param ticker the clock
     */
    public RecentMaximum(long windowMillis, Ticker ticker) {
        this.windowMillis = windowMillis;
        this.ticker = ticker;
        this.windowStart = ticker.millis();
    }

    /**
     * Records a value.
     *
     * @param value the value; not negative
     */
    public synchronized void record(int value) {
        rotate();
        current = Math.max(current, value);
    }

    /**
     * Returns the maximum of the recent values.
     *
     * @return the maximum; zero if there is no recent value
     */
    public synchronized int max() {
        rotate();
        return Math.max(current, previous);
    }

    private void rotate() {
        long now = ticker.millis();
        if (now - windowStart >= 2 * windowMillis) {
            previous = 0;
            current = 0;
            windowStart = now;
        } else if (now - windowStart >= windowMillis) {
            previous = current;
            current = 0;
            windowStart += windowMillis;
        }
    }
}
