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

/**
 * Limits the active streams of one model at this entry, so that admitted streams get their first event in time.
 *
 * <p>Works like a congestion window, as the load of other entries is unknown: grows while first events are early and
 * shrinks when they are late.
 */
final class AdmissionWindow {

    /** Multiple of the latency objective above which a first event shrinks the window. */
    private static final double LATE_FACTOR = 2;
    /** Multiple of the latency objective below which a first event grows the window. */
    private static final double EARLY_FACTOR = 1;

    private static final double SHRINK_FACTOR = 0.85;
    /** Minimum interval between two reductions, in milliseconds; about the latency of a first event. */
    private static final long MIN_SHRINK_INTERVAL_MILLIS = 300;
    /** Maximum window, in multiples of the equal share of this entry; allows for uneven distribution of clients. */
    private static final double MAX_SHARES = 4;
    /**
     * Minimum window, in multiples of the equal share of this entry; failure domains have few or many entries for
     * their clients.
     */
    private static final double MIN_SHARES = 1.2;

    private double window = Double.MAX_VALUE;
    private volatile int inProgress;
    private long lastShrinkAt = Long.MIN_VALUE / 2;

    /** Returns a window with one place taken that belongs to no model, for a stream that another entry admits. */
    static AdmissionWindow unlimited() {
        AdmissionWindow out = new AdmissionWindow();
        out.acquire();
        return out;
    }

    /**
     * Acquires a place if the window permits it.
     *
     * @param slots the slots of all groups that serve the model
     * @param entryCount  the number of entries that share them
     * @return true if the stream is admitted
     */
    boolean tryAcquire(int slots, int entryCount) {
        double share = (double) slots / Math.max(1, entryCount);
        double minWindow = Math.max(1, share * MIN_SHARES);
        window = Math.max(minWindow, Math.min(window, Math.max(1, share * MAX_SHARES)));
        if (inProgress >= window) {
            return false;
        }
        inProgress++;
        return true;
    }

    /** Acquires a place unconditionally; always returns true. */
    boolean acquire() {
        inProgress++;
        return true;
    }

    /** Releases a place. */
    void release() {
        inProgress--;
    }

    /**
     * Adjusts the window after a first event.
     *
     * @param latencyRatio the latency of the event, as a multiple of its objective
     * @param now the current time, in milliseconds
     */
    void recordFirstEvent(double latencyRatio, long now) {
        if (latencyRatio > LATE_FACTOR && now - lastShrinkAt >= MIN_SHRINK_INTERVAL_MILLIS) {
            window = Math.max(1, Math.min(window, inProgress) * SHRINK_FACTOR);
            lastShrinkAt = now;
        } else if (latencyRatio < EARLY_FACTOR) {
            window += 1 / Math.max(1, window);
        }
    }

    int inProgress() {
        return inProgress;
    }

    double window() {
        return window;
    }
}
