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
package org.hallwall.serving.permit;

import java.util.LinkedHashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/**
 * The permits of one target: a token bucket, and the entries that wait for the next permits in the order in which they asked. Guarded
 * by {@link PermitLedger}.
 */
final class PermitAccount {

    /** The least rate that is obeyed, in requests a second: only an answer can tell that a limit has ended. */
    static final double LEAST_PER_SECOND = 0.1;
    /** How much the bucket holds, in seconds of the rate. */
    private static final double BURST_SECONDS = 0.25;
    /** The least that the bucket holds, so that a permit that is given back is not lost beside the next one. */
    private static final double LEAST_BURST = 2;
    /** How many permits orders and probes may take in advance; they are few, and requests wait for them. */
    private static final double MOST_DEBT = 2;
    /** The shortest and the longest time after which an entry that waits is to ask again, in milliseconds. */
    private static final long LEAST_RETRY_MILLIS = 50;

    private static final long MOST_RETRY_MILLIS = 1_000;
    /** How much later than told an entry may ask and keep its place, in milliseconds: a slow round trip. */
    private static final long PLACE_MILLIS = 250;

    private static final double MILLIS_A_SECOND = 1_000;
    /** Sums of parts of permits come this near to a whole one. */
    private static final double ROUNDING = 1e-6;

    private final Map<InstanceId, Long> waitingUntil = new LinkedHashMap<>();
    private double permits;
    private long filledAt;

    PermitAccount(long now) {
        filledAt = now;
    }

    /** Gives the rate at which permits come, by the limit that a target names. */
    static double rate(RateLimit limit) {
        return Math.max(LEAST_PER_SECOND, limit.perSecond());
    }

    /** Fills the bucket by the rate that was in force until now. */
    void fill(double rate, long now) {
        permits = Math.min(burst(rate), permits + rate * Math.max(0, now - filledAt) / MILLIS_A_SECOND);
        filledAt = now;
        waitingUntil.values().removeIf(until -> until < now);
    }

    /** Begins anew. */
    void empty(long now) {
        permits = 0;
        filledAt = now;
        waitingUntil.clear();
    }

    /** Takes permits back that an entry has not used. */
    void giveBack(double rate, int unused) {
        permits = Math.min(burst(rate), permits + unused);
    }

    /** Gives an entry up to as many permits as it wants, as far as they are not due to entries that wait for longer. */
    int take(InstanceId entry, int wanted) {
        int left = (int) Math.floor(permits + ROUNDING) - ahead(entry);
        int out = Math.max(0, Math.min(wanted, left));
        permits -= out;
        if (out > 0 || wanted == 0) {
            waitingUntil.remove(entry);
        }
        return out;
    }

    /** Takes one permit before its time, unless too many were taken so. */
    boolean tryTakeAhead() {
        if (permits - 1 < -MOST_DEBT) {
            return false;
        }
        permits--;
        return true;
    }

    /** Lets an entry wait and says when its next permit is due, in milliseconds. */
    long await(InstanceId entry, double rate, long now) {
        double millis = (ahead(entry) + 1 - permits) / rate * MILLIS_A_SECOND;
        long retry = Math.max(LEAST_RETRY_MILLIS, (long) Math.ceil(Math.min(MOST_RETRY_MILLIS, millis)));
        waitingUntil.put(entry, now + retry + PLACE_MILLIS);
        return retry;
    }

    private int ahead(InstanceId entry) {
        int out = 0;
        for (InstanceId id : waitingUntil.keySet()) {
            if (id.equals(entry)) {
                return out;
            }
            out++;
        }
        return out;
    }

    private static double burst(double rate) {
        return Math.max(LEAST_BURST, rate * BURST_SECONDS);
    }
}
