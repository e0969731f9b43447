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

import org.hallwall.serving.config.Route;

/**
 * The time without progress after which a stream counts as stalled.
 *
 * @param millis the time, in milliseconds
 */
record StallTimeout(long millis) {

    /** Fraction of the latency objective after which a stream without a first event counts as stalled. */
    private static final double FIRST_EVENT_TIMEOUT_FACTOR = 0.4;
    /** Fraction of the maximum pause between events after which a stream counts as stalled. */
    private static final double PAUSE_TIMEOUT_FACTOR = 0.33;
    /**
     * Mean gaps between the events of a target to wait for the first event of a stream; {@link #PAUSE_GAPS} for later
     * ones.
     */
    private static final double FIRST_EVENT_GAPS = 3;

    private static final double PAUSE_GAPS = 2;
    private static final long MIN_STALL_TIMEOUT_MILLIS = 60;
    /** Stall timeouts at another entry after which a stream is hedged; that entry returns streams of lost groups. */
    private static final double ENTRY_TIMEOUT_FACTOR = 4.5;
    /** Stall timeouts after which a stream is hedged at a target without a group, whose liveness cannot be queried. */
    private static final double UNGROUPED_TIMEOUT_FACTOR = 1.5;

    /** Returns the timeout of a stream at a target, before or after its first event. */
    static StallTimeout of(Route route, boolean beforeFirstEvent, TargetState target) {
        long pause = route.maxEventGapMillis();
        boolean first = beforeFirstEvent || pause <= 0;
        double limit =
                first ? route.latencyObjectiveMillis() * FIRST_EVENT_TIMEOUT_FACTOR : pause * PAUSE_TIMEOUT_FACTOR;
        double usual = target.meanGapMillis() * (first ? FIRST_EVENT_GAPS : PAUSE_GAPS);
        return new StallTimeout(Math.max(
                MIN_STALL_TIMEOUT_MILLIS, (long) Math.max(target.lateThresholdMillis(), Math.max(limit, usual))));
    }

    /** Returns the time after which a stream at another entry is hedged. */
    double millisForEntry() {
        return millis * ENTRY_TIMEOUT_FACTOR;
    }

    /** Returns the time after which a stream at a target without a group is hedged. */
    double millisWithoutGroup() {
        return millis * UNGROUPED_TIMEOUT_FACTOR;
    }
}
