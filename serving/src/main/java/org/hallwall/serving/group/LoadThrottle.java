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
package org.hallwall.serving.group;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/** Limits the start rate and the concurrency of loads from the weight store. */
public final class LoadThrottle {

    /** The sliding window of the rate limit, in milliseconds; the shortest one over which the store's rate must be met. */
    private static final long WINDOW_MILLIS = 5_000;
    /** The time after which a load without a reported end no longer counts as running, in milliseconds. */
    private static final long LOAD_TIMEOUT_MILLIS = 40_000;
    /** The fraction of the rate that is used; the rest is reserved for loads started by another controller. */
    private static final double RATE_FRACTION = 0.9;

    /**
     * The fraction of the rate that is used in the window after a takeover. The previous controller may have used {@link #RATE_FRACTION}
     * in the same window, so together they exceed the rate by a tenth at most.
     */
    private static final double RATE_FRACTION_AFTER_TAKEOVER = 0.2;

    /** The maximum number of concurrent loads of spares, which slow down loads that complete a group. */
    private static final int MAX_SPARE_LOADS = 2;

    private final Deque<Long> startTimes = new ArrayDeque<>();
    private final Map<InstanceId, Load> running = new HashMap<>();
    private long takeoverAt = Long.MIN_VALUE / 2;

    /**
     * Records a takeover from another controller, which may have started loads until now.
     *
     * @param now the current time in milliseconds
     */
    public void recordTakeover(long now) {
        takeoverAt = now;
    }

    /**
     * Starts a load if rate and concurrency allow it.
     *
     * @param target the target that will load
     * @param model the model
     * @param loadsPerSecond the store's rate
     * @param maxConcurrent the number of loads that run at full speed
     * @param now the current time in milliseconds
     * @return true if the load may start
     */
    public boolean tryStart(InstanceId target, String model, double loadsPerSecond, int maxConcurrent, long now) {
        while (!startTimes.isEmpty() && now - startTimes.peekFirst() > WINDOW_MILLIS) {
            startTimes.removeFirst();
        }
        running.values().removeIf(l -> now - l.startedAt() > LOAD_TIMEOUT_MILLIS);
        double share = now - takeoverAt <= WINDOW_MILLIS ? RATE_FRACTION_AFTER_TAKEOVER : RATE_FRACTION;
        double maxStarts = loadsPerSecond * share * WINDOW_MILLIS / 1_000;
        if (running.size() - spareLoadCount() >= maxConcurrent || startTimes.size() + 1 > maxStarts) {
            return false;
        }
        startTimes.addLast(now);
        running.put(target, new Load(model, now, false));
        return true;
    }

    /**
     * Starts the load of a spare, which completes no group. It uses at most half of the store's rate, and does not count towards
     * the concurrency limit of loads that complete a group.
     *
     * @param target the target that will load
     * @param model the model
     * @param loadsPerSecond the store's rate
     * @param maxConcurrent the number of loads that run at full speed
     * @param now the current time in milliseconds
     * @return true if the load may start
     */
    public boolean tryStartSpare(InstanceId target, String model, double loadsPerSecond, int maxConcurrent, long now) {
        boolean hasCapacity = running.size() < maxConcurrent && spareLoadCount() < MAX_SPARE_LOADS;
        if (!hasCapacity || !tryStart(target, model, loadsPerSecond / 2, maxConcurrent, now)) {
            return false;
        }
        running.put(target, new Load(model, now, true));
        return true;
    }

    private int spareLoadCount() {
        int out = 0;
        for (Load l : running.values()) {
            out += l.spare() ? 1 : 0;
        }
        return out;
    }

    /**
     * Releases the load of a target that has completed or failed, or whose target is lost.
     *
     * @param target the target
     */
    public void release(InstanceId target) {
        running.remove(target);
    }

    /**
     * Returns the running loads.
     *
     * @return the models by target
     */
    public Map<InstanceId, String> runningLoads() {
        Map<InstanceId, String> out = new HashMap<>();
        running.forEach((id, l) -> out.put(id, l.model()));
        return out;
    }

    /** A running load. */
    private record Load(String model, long startedAt, boolean spare) {}
}
