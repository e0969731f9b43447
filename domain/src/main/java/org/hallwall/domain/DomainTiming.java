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
package org.hallwall.domain;

/**
 * The time limits within a failure domain, in milliseconds.
 *
 * @param announcementTtl how long an announcement is valid; once it has expired the target's group receives no new runs
 * @param memberTimeout the time without an announcement after which a member is replaced
 * @param controllerLease the duration of the controller lease
 * @param orderExpiry how long an order is valid
 * @param drainSettleTime the minimum time between the start of a drain and the end of its group, so that all entries have
 *     received the drain
 */
public record DomainTiming(
        long announcementTtl, long memberTimeout, long controllerLease, long orderExpiry, long drainSettleTime) {

    /** The default limits. */
    public static final DomainTiming DEFAULT = new DomainTiming(1_500, 5_000, 1_500, 1_000, 1_500);

    private static final int MAX_CLOCK_DRIFT_PERCENT = 5;
    /** The interval at which an announcement is relayed in full even if its content is unchanged. */
    public static final long FULL_ANNOUNCEMENT_INTERVAL_MILLIS = 4_000;

    private static final int PERCENT = 100;

    /** The time within which every live target announces itself; targets do so about twice a second. */
    private static final long ANNOUNCE_INTERVAL_MILLIS = 1_000;

    /**
     * Returns how long a holder may rely on its lease.
     *
     * @return the lease duration less the tolerated clock drift, in milliseconds
     */
    public long safeLeaseDuration() {
        return controllerLease * (PERCENT - MAX_CLOCK_DRIFT_PERCENT) / PERCENT;
    }

    /**
     * Returns how long a new controller waits before its first order.
     *
     * @return the time after which earlier orders have expired and all targets have announced themselves
     */
    public long initialListenTime() {
        return orderExpiry + ANNOUNCE_INTERVAL_MILLIS;
    }

    /**
     * Returns how long a process must receive announcements, after a start or a pause, until it knows all targets.
     *
     * @return the time within which every target is relayed in full, in milliseconds
     */
    public long fullDiscoveryTime() {
        return FULL_ANNOUNCEMENT_INTERVAL_MILLIS + ANNOUNCE_INTERVAL_MILLIS;
    }
}
