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

import java.util.HashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;

/** What the other entries have in progress at each target, as of their last reports; used on the I/O thread only. */
public final class FleetLoad {

    /** How long sums are used, in milliseconds; older ones say little, since a stream lives for about a second. */
    private static final long FRESH_MILLIS = 1_500;

    /** After this long without sums the control instance counts as out of touch, in milliseconds: two reports. */
    private static final long IN_TOUCH_MILLIS = 500;

    private final Ticker ticker;
    private Map<String, Integer> others = Map.of();
    private long takenAt = Long.MIN_VALUE / 2;

    /**
     * Creates it; nothing is known at first.
     *
     * @param ticker the clock
     */
    public FleetLoad(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Takes sums over all entries.
     *
     * @param own what this entry had reported when they were made, by target
     * @param sums the requests in progress of all entries, by target
     */
    void take(Map<String, Integer> own, Map<String, Integer> sums) {
        Map<String, Integer> rest = new HashMap<>();
        sums.forEach((target, n) -> rest.put(target, Math.max(0, n - own.getOrDefault(target, 0))));
        others = rest;
        takenAt = ticker.millis();
    }

    /**
     * Says whether the sums are known.
     *
     * @return true if they came lately
     */
    boolean isKnown() {
        return ageMillis() <= FRESH_MILLIS;
    }

    /**
     * Says whether the control instance that keeps the sums is in touch.
     *
     * @return true if it has answered one of the last reports
     */
    boolean isInTouch() {
        return ageMillis() <= IN_TOUCH_MILLIS;
    }

    /**
     * Gives the age of the sums.
     *
     * @return the time since they came, in milliseconds
     */
    long ageMillis() {
        return ticker.millis() - takenAt;
    }

    /**
     * Counts the requests of other entries at a target.
     *
     * @param target the target
     * @return how many; zero if nothing is known
     */
    int others(InstanceId target) {
        return others.getOrDefault(target.value(), 0);
    }
}
