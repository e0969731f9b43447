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

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the slots that the refused streams of a model would have used. Active streams alone underestimate the
 * demand, since they never exceed the slots.
 */
final class RefusedDemand {

    /** Window over which refusals are counted, in milliseconds; a few stream durations. */
    private static final long WINDOW_MILLIS = 2_000;
    /** Initial mean duration of a stream, in milliseconds. */
    private static final double INITIAL_MEAN_MILLIS = 1_000;
    /** Weight of the latest stream in the exponential moving average. */
    private static final double MEAN_WEIGHT = 0.05;

    private final Deque<Long> refusals = new ArrayDeque<>();
    private double meanMillis = INITIAL_MEAN_MILLIS;

    synchronized void recordRefusal(long now) {
        refusals.addLast(now);
        expire(now);
    }

    /** Records the duration of a completed stream. */
    synchronized void recordCompletion(long heldMillis) {
        meanMillis += MEAN_WEIGHT * (heldMillis - meanMillis);
    }

    /** Returns the estimated slots: refusal rate times mean duration (Little's law). */
    synchronized double estimatedSlots(long now) {
        expire(now);
        return refusals.size() * meanMillis / WINDOW_MILLIS;
    }

    private void expire(long now) {
        while (!refusals.isEmpty() && now - refusals.peekFirst() > WINDOW_MILLIS) {
            refusals.removeFirst();
        }
    }
}
