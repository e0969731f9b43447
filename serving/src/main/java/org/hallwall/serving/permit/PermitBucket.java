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

/** The token bucket of one target and a FIFO queue of entries that wait for permits. Guarded by {@link PermitAllocator}. */
final class PermitBucket {

    /** The minimum effective rate in requests per second: only a response can end a limit, so some requests must be sent. */
    static final double MIN_PER_SECOND = 0.1;
    /** The bucket's capacity in seconds of the rate. */
    private static final double CAPACITY_SECONDS = 0.25;
    /** The minimum capacity, so that a returned permit is not lost when the next one accrues. */
    private static final double MIN_CAPACITY = 2;
    /** Permits that orders and probes may use in advance. */
    private static final double MAX_DEBT = 2;

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 1_000;
    /** How long after its retry time an entry keeps its place in the queue. */
    private static final long QUEUE_GRACE_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** Tolerance for rounding errors of fractional permits. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Map<InstanceId, Long> queueExpiry = new LinkedHashMap<>();
    private double permits;
    private long refilledAt;

    PermitBucket(long now) {
        refilledAt = now;
    }

    /** Returns the effective rate for a limit. */
    static double effectiveRate(RateLimit limit) {
        return Math.max(MIN_PER_SECOND, limit.perSecond());
    }

    /** Refills the bucket at the rate in force until now, and drops expired waiters. */
    void refill(double rate, long now) {
        permits = Math.min(capacity(rate), permits + rate * Math.max(0, now - refilledAt) / MILLIS_PER_SECOND);
        refilledAt = now;
        queueExpiry.values().removeIf(until -> until < now);
    }

    void reset(long now) {
        permits = 0;
        refilledAt = now;
        queueExpiry.clear();
    }

    /** Returns permits to the bucket that an entry has not used. */
    void returnUnused(double rate, int unused) {
        permits = Math.min(capacity(rate), permits + unused);
    }

    /** Grants up to the wanted number of permits, after one for each entry that is ahead in the queue. */
    int acquire(InstanceId entry, int wanted) {
        int available = (int) Math.floor(permits + ROUNDING_TOLERANCE) - countAhead(entry);
        int granted = Math.max(0, Math.min(wanted, available));
        permits -= granted;
        if (granted > 0 || wanted == 0) {
            queueExpiry.remove(entry);
        }
        return granted;
    }

    /** Uses one permit, in advance if necessary, unless too many have been used in advance. */
    boolean tryAcquireInAdvance() {
        if (permits - 1 < -MAX_DEBT) {
            return false;
        }
        permits--;
        return true;
    }

    /** Enqueues an entry and returns the time in milliseconds after which it should retry. */
    long enqueue(InstanceId entry, double rate, long now) {
        double millis = (countAhead(entry) + 1 - permits) / rate * MILLIS_PER_SECOND;
        long retry = Math.max(MIN_RETRY_MILLIS, (long) Math.ceil(Math.min(MAX_RETRY_MILLIS, millis)));
        queueExpiry.put(entry, now + retry + QUEUE_GRACE_MILLIS);
        return retry;
    }

    private int countAhead(InstanceId entry) {
        int position = 0;
        for (InstanceId id : queueExpiry.keySet()) {
            if (id.equals(entry)) {
                return position;
            }
            position++;
        }
        return position;
    }

    private static double capacity(double rate) {
        return Math.max(MIN_CAPACITY, rate * CAPACITY_SECONDS);
    }
}
