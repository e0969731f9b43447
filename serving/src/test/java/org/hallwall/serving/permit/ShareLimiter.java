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

import java.util.HashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/** Alternative strategies without a central token bucket, for comparison: each entry limits itself to its share of the rate. */
final class ShareLimiter implements RateLimiter {

    /** How an entry's share is determined. */
    enum Strategy {
        /** An even share; the bucket starts with one request. */
        EVEN_TOKENS,
        /** An even share; the bucket starts empty. */
        EVEN_PARTS,
        /** A share in proportion to the demand of all entries in the last second; the bucket starts empty. */
        BY_DEMAND,
        /** Entries take turns; each may send one request in its time slot. */
        TIME_SLOTS
    }

    private static final long REPORT_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final SimulatedSystem system;
    private final Strategy strategy;
    private final int entries;
    private final int index;
    private final Map<InstanceId, Bucket> buckets = new HashMap<>();
    private final Map<InstanceId, double[]> demand;

    /**
     * Creates a limiter.
     *
     * @param demand the demand by target, shared by all entries: this second and the last one, by entry
     */
    ShareLimiter(SimulatedSystem system, Strategy strategy, int entries, int index, Map<InstanceId, double[]> demand) {
        this.system = system;
        this.strategy = strategy;
        this.entries = entries;
        this.index = index;
        this.demand = demand;
    }

    @Override
    public void applyStatement(InstanceId target, LimitStatement statement) {
        Bucket b = buckets.computeIfAbsent(
                target, t -> new Bucket(system.now(), strategy == Strategy.EVEN_TOKENS ? 1 : 0));
        if (statement.replaces(b.statement)) {
            b.statement = statement;
        }
    }

    void want(InstanceId target) {
        double[] counts = demand.computeIfAbsent(target, t -> new double[2 * entries + 1]);
        long second = system.now() / REPORT_MILLIS;
        if (counts[2 * entries] != second) {
            System.arraycopy(counts, 0, counts, entries, entries);
            java.util.Arrays.fill(counts, 0, entries, 0);
            counts[2 * entries] = second;
        }
        counts[index]++;
    }

    double perSecond(InstanceId target) {
        return isLimited(target) ? buckets.get(target).statement.limit().perSecond() : 0;
    }

    @Override
    public boolean isLimited(InstanceId target) {
        Bucket b = buckets.get(target);
        return b != null && b.statement != null && b.statement.limit() != null;
    }

    @Override
    public boolean hasPermit(InstanceId target) {
        if (!isLimited(target)) {
            return true;
        }
        if (strategy == Strategy.TIME_SLOTS) {
            return slot(target) % entries == index && buckets.get(target).usedSlot != slot(target);
        }
        Bucket b = buckets.get(target);
        double rate = perSecond(target) * share(target);
        b.tokens = Math.min(Math.max(1, rate), b.tokens + rate * (system.now() - b.filledAt) / MILLIS_PER_SECOND);
        b.filledAt = system.now();
        return b.tokens >= 1;
    }

    private long slot(InstanceId target) {
        return (long) (system.now() * perSecond(target) / MILLIS_PER_SECOND);
    }

    private double share(InstanceId target) {
        double[] counts = demand.get(target);
        if (strategy != Strategy.BY_DEMAND || counts == null) {
            return 1.0 / entries;
        }
        double sum = 0;
        for (int e = entries; e < 2 * entries; e++) {
            sum += counts[e];
        }
        return sum == 0 ? 1.0 / entries : counts[entries + index] / sum;
    }

    @Override
    public boolean tryAcquire(InstanceId target) {
        if (!hasPermit(target)) {
            return false;
        }
        if (isLimited(target)) {
            buckets.get(target).tokens--;
            buckets.get(target).usedSlot = slot(target);
        }
        return true;
    }

    @Override
    public long retryMillis(InstanceId target) {
        return 0;
    }

    private static final class Bucket {

        private LimitStatement statement;
        private double tokens;
        private long filledAt;
        private long usedSlot = -1;

        Bucket(long now, double tokens) {
            this.filledAt = now;
            this.tokens = tokens;
        }
    }
}
