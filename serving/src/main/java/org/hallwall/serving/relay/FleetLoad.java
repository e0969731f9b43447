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

/** Outstanding requests of the other entries by target, as last reported. Confined to the I/O thread. */
public final class FleetLoad {

    /** Maximum age of the totals, in milliseconds; about the duration of a stream. */
    private static final long MAX_AGE_MILLIS = 1_500;

    /**
     * Time without totals after which the control instance counts as unreachable, in milliseconds; two report
     * intervals.
     */
    private static final long CONTROL_TIMEOUT_MILLIS = 500;

    private final Ticker ticker;
    private Map<String, Integer> othersOutstanding = Map.of();
    private long updatedAt = Long.MIN_VALUE / 2;

    /**
     * Creates an empty load table.
     *
     * @param ticker the clock
     */
    public FleetLoad(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Updates the totals over all entries.
     *
     * @param own the requests that this entry had reported, included in the totals, by target
     * @param totals the outstanding requests of all entries, by target
     */
    void update(Map<String, Integer> own, Map<String, Integer> totals) {
        Map<String, Integer> remaining = new HashMap<>();
        totals.forEach((target, n) -> remaining.put(target, Math.max(0, n - own.getOrDefault(target, 0))));
        othersOutstanding = remaining;
        updatedAt = ticker.millis();
    }

    /**
     * Returns whether the totals are up to date.
     *
     * @return true if they are not older than the maximum age
     */
    boolean isFresh() {
        return ageMillis() <= MAX_AGE_MILLIS;
    }

    /**
     * Returns whether the control instance that computes the totals is reachable.
     *
     * @return true if it has answered a recent report
     */
    boolean isControlReachable() {
        return ageMillis() <= CONTROL_TIMEOUT_MILLIS;
    }

    /**
     * Returns the age of the totals.
     *
     * @return the age, in milliseconds
     */
    long ageMillis() {
        return ticker.millis() - updatedAt;
    }

    /**
     * Returns the outstanding requests of other entries at a target.
     *
     * @param target the target
     * @return the number of requests; zero if unknown
     */
    int othersOutstanding(InstanceId target) {
        return othersOutstanding.getOrDefault(target.value(), 0);
    }
}
