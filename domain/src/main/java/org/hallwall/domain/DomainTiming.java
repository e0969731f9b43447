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
 * @param announceLease how long an announcement counts; after that the target's group gets no new work
 * @param deadAfter the silence after which a member is replaced
 * @param controllerLease how long the lease of a controller lasts
 * @param orderExpiry how long an order stays in force
 * @param drainSettle how long a drain must be known before its group may be taken apart
 */
public record DomainTiming(
        long announceLease, long deadAfter, long controllerLease, long orderExpiry, long drainSettle) {

    /** The usual limits. */
    public static final DomainTiming DEFAULT = new DomainTiming(1_500, 5_000, 1_500, 1_000, 1_500);

    private static final int DRIFT_PERCENT = 5;
    /** How often an announcement is passed on whole, even if it repeats the one before. */
    public static final long WHOLE_EVERY_MILLIS = 4_000;

    private static final int PERCENT = 100;

    /** Targets announce themselves about twice a second. */
    private static final long ANNOUNCE_ROUND_MILLIS = 1_000;

    /**
     * Gives how long a holder may trust its lease.
     *
     * @return the lease less the allowed drift of clocks
     */
    public long trustedLease() {
        return controllerLease * (PERCENT - DRIFT_PERCENT) / PERCENT;
    }

    /**
     * Gives how long a new controller only listens.
     *
     * @return the longest order in flight and one round of announcements
     */
    public long listenFirst() {
        return orderExpiry + ANNOUNCE_ROUND_MILLIS;
    }

    /**
     * Gives how long a process that has started, or has stood still, must listen until it has heard of all targets.
     *
     * @return the time after which every target was passed on whole
     */
    public long hearAll() {
        return WHOLE_EVERY_MILLIS + ANNOUNCE_ROUND_MILLIS;
    }
}
