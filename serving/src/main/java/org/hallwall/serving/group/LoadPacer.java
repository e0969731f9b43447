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

/** Keeps loads from the weight store below its rate and its number of full-speed loads. */
public final class LoadPacer {

    /** The window over which the store's rate is kept, in milliseconds; as long as the shortest window it is judged by. */
    private static final long WINDOW_MILLIS = 5_000;
    /** After this long a load that was never seen to end no longer counts as running, in milliseconds. */
    private static final long LOST_MILLIS = 40_000;
    /** The part of the rate that is used; the rest is for loads that another controller has begun. */
    private static final double SHARE = 0.9;

    /**
     * The part of the rate that is used for one window after this controller took over from another, which may have used
     * {@link #SHARE} of it in the same window: together no more than a tenth above the rate.
     */
    private static final double SHARE_AFTER_ANOTHER = 0.2;

    /** How many loads of spares run at once at most: they go on for a dozen seconds, and slow down those that groups wait for. */
    private static final int MOST_SPARES = 2;

    private final Deque<Long> begun = new ArrayDeque<>();
    private final Map<InstanceId, Load> running = new HashMap<>();
    private long tookOverAt = Long.MIN_VALUE / 2;

    /**
     * Notes that another controller may have begun loads up to now.
     *
     * @param now the clock in milliseconds
     */
    public void takeOver(long now) {
        tookOverAt = now;
    }

    /**
     * Takes a place for a load if there is one.
     *
     * @param target the target that will load
     * @param model the model
     * @param loadsPerSecond the store's rate
     * @param atOnce how many loads run at full speed
     * @param now the clock in milliseconds
     * @return true if the load may begin
     */
    public boolean tryBegin(InstanceId target, String model, double loadsPerSecond, int atOnce, long now) {
        while (!begun.isEmpty() && now - begun.peekFirst() > WINDOW_MILLIS) {
            begun.removeFirst();
        }
        running.values().removeIf(l -> now - l.begunAt() > LOST_MILLIS);
        double share = now - tookOverAt <= WINDOW_MILLIS ? SHARE_AFTER_ANOTHER : SHARE;
        double most = loadsPerSecond * share * WINDOW_MILLIS / 1_000;
        if (running.size() - spares() >= atOnce || begun.size() + 1 > most) {
            return false;
        }
        begun.addLast(now);
        running.put(target, new Load(model, now, false));
        return true;
    }

    /**
     * Takes a place for the load of a spare, for which no group waits. It leaves half of the store's rate to others, and never
     * keeps a place from one that a group waits for.
     *
     * @param target the target that will load
     * @param model the model
     * @param loadsPerSecond the store's rate
     * @param atOnce how many loads run at full speed
     * @param now the clock in milliseconds
     * @return true if the load may begin
     */
    public boolean tryBeginSpare(InstanceId target, String model, double loadsPerSecond, int atOnce, long now) {
        boolean room = running.size() < atOnce && spares() < MOST_SPARES;
        if (!room || !tryBegin(target, model, loadsPerSecond / 2, atOnce, now)) {
            return false;
        }
        running.put(target, new Load(model, now, true));
        return true;
    }

    private int spares() {
        int out = 0;
        for (Load l : running.values()) {
            out += l.spare() ? 1 : 0;
        }
        return out;
    }

    /**
     * Notes that a target's load has ended, or that the target is lost.
     *
     * @param target the target
     */
    public void ended(InstanceId target) {
        running.remove(target);
    }

    /**
     * Lists the loads that run.
     *
     * @return the models by target
     */
    public Map<InstanceId, String> loading() {
        Map<InstanceId, String> out = new HashMap<>();
        running.forEach((id, l) -> out.put(id, l.model()));
        return out;
    }

    /** A load that runs. */
    private record Load(String model, long begunAt, boolean spare) {}
}
