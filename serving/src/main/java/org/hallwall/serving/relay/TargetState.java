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

/** What this entry has seen of one target; used on the I/O thread only. */
final class TargetState {

    /** The first pause after a failure, in milliseconds; it doubles with each further one. */
    private static final long PAUSE_MILLIS = 400;

    private static final long MOST_PAUSE_MILLIS = 3_000;

    /**
     * How long a target gets no requests for whose address another one answers, in milliseconds, unless it announces something new. Most
     * such targets are gone for good; one that is not, because its answer was spoilt, is lost to this entry for so long.
     */
    private static final long DISPLACED_MILLIS = 30_000;

    /** The weight of the latest gap in the running mean. */
    private static final double GAP_WEIGHT = 0.1;

    /** How many mean deviations above the mean a gap is unusual: some passes read long prompts, which takes several gaps. */
    private static final double DEVIATIONS = 4;

    private int outstanding;
    private int failures;
    private long pausedUntil;
    private long displacedAnnouncement = -1;
    private long displacedUntil;
    private long progressAt;
    private double usualGap;
    private double gapDeviation;

    void begin() {
        outstanding++;
    }

    void end() {
        outstanding--;
    }

    int outstanding() {
        return outstanding;
    }

    void progress(long now) {
        progressAt = now;
    }

    long progressAt() {
        return progressAt;
    }

    /** Notes the time between two events of one stream. */
    void gap(long millis) {
        gapDeviation += (Math.abs(millis - usualGap) - gapDeviation) * GAP_WEIGHT;
        usualGap += (millis - usualGap) * GAP_WEIGHT;
    }

    /** Gives the silence after which this target is unusually late, as retransmission timers judge it. */
    double lateMillis() {
        return usualGap + DEVIATIONS * gapDeviation;
    }

    double usualGapMillis() {
        return usualGap;
    }

    void succeeded() {
        failures = 0;
    }

    void failed(long now) {
        long pause = Math.min(MOST_PAUSE_MILLIS, PAUSE_MILLIS << Math.min(failures, 8));
        failures++;
        pausedUntil = now + pause;
    }

    /** Notes that another target answered in place of this one. */
    void displaced(ServingTarget target, long now) {
        displacedAnnouncement = target.announcement();
        displacedUntil = now + DISPLACED_MILLIS;
    }

    /** Says whether another target answers at the address that this one announced. */
    boolean isDisplaced(ServingTarget target, long now) {
        return target.announcement() <= displacedAnnouncement && now < displacedUntil;
    }

    boolean isPaused(long now) {
        return now < pausedUntil;
    }
}
