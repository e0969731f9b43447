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

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;

/**
 * Allocates permits for all rate-limited targets; used by the control instance that controls the groups. That instance's orders and probes
 * acquire their permits directly. A new token bucket starts empty, since permits granted by a previous control instance may still be in
 * use. Thread-safe.
 */
public final class PermitAllocator implements RateLimiter {

    /** Maximum number of targets; the least recently used one is evicted. */
    private static final int MAX_TARGETS = 4_096;
    /** How long the end of a limit is announced to all entries; later grants carry it. */
    private static final long ANNOUNCE_END_MILLIS = 10_000;

    private final Ticker ticker;
    private long version;
    private final Map<InstanceId, LimitState> targets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, LimitState> eldest) {
            return size() > MAX_TARGETS;
        }
    };

    /**
     * Creates a ledger without limits.
     *
     * @param ticker the clock
     * @param firstVersion the version before the first one; must differ for every ledger
     */
    public PermitAllocator(Ticker ticker, long firstVersion) {
        this.ticker = ticker;
        this.version = firstVersion;
    }

    /**
     * Grants permits to an entry.
     *
     * @param entry the requesting entry
     * @param asks its requests by target
     * @return the grants, in the same order
     */
    public synchronized List<PermitGrant> allocate(InstanceId entry, List<PermitDemand> asks) {
        List<PermitGrant> out = new ArrayList<>();
        for (PermitDemand a : asks) {
            out.add(allocate(entry, a));
        }
        return out;
    }

    private PermitGrant allocate(InstanceId entry, PermitDemand demand) {
        long now = ticker.millis();
        InstanceId target = demand.limit().target();
        if (demand.heard() || !targets.containsKey(target)) {
            applyReport(demand.limit());
        }
        LimitState state = targets.get(target);
        if (state == null) {
            return new PermitGrant(demand.limit(), demand.wanted(), 0);
        }
        if (state.limit == null) {
            return new PermitGrant(state.report(target, now), demand.wanted(), 0);
        }
        double rate = PermitBucket.effectiveRate(state.limit);
        state.bucket.refill(rate, now);
        state.bucket.returnUnused(rate, demand.unused());
        int permits = state.bucket.acquire(entry, demand.wanted());
        long retry = permits < demand.wanted() ? state.bucket.enqueue(entry, rate, now) : 0;
        return new PermitGrant(state.report(target, now), permits, retry);
    }

    @Override
    public synchronized void applyStatement(InstanceId target, LimitStatement statement) {
        if (statement.limit() != null) {
            applyReport(new LimitReport(target, statement.limit().perSecond(), 0, 0));
        }
    }

    private void applyReport(LimitReport report) {
        LimitState state = targets.get(report.target());
        long now = ticker.millis();
        if (state == null) {
            if (report.limit() != null) {
                targets.put(report.target(), new LimitState(report.limit(), ++version, now));
            }
            return;
        }
        if (Objects.equals(report.limit(), state.limit)) {
            state.receivedAt = Math.max(state.receivedAt, now - report.ageMillis());
            return;
        }
        boolean stricter = report.limit() != null && report.limit().isStricterThan(state.limit);
        if (stricter || report.version() == state.version) {
            state.changeLimit(report.limit(), ++version, now);
        }
    }

    /**
     * Returns the limits to be announced to all entries: those in force and those that ended recently.
     *
     * @return the limits by target
     */
    public synchronized List<LimitReport> limits() {
        long now = ticker.millis();
        List<LimitReport> out = new ArrayList<>();
        targets.forEach((target, state) -> {
            if (state.limit != null || now - state.receivedAt < ANNOUNCE_END_MILLIS) {
                out.add(state.report(target, now));
            }
        });
        return out;
    }

    @Override
    public synchronized boolean isLimited(InstanceId target) {
        LimitState state = targets.get(target);
        return state != null && state.limit != null;
    }

    @Override
    public synchronized boolean hasPermit(InstanceId target) {
        return true;
    }

    @Override
    public synchronized boolean tryAcquire(InstanceId target) {
        LimitState state = targets.get(target);
        if (state == null || state.limit == null) {
            return true;
        }
        state.bucket.refill(PermitBucket.effectiveRate(state.limit), ticker.millis());
        return state.bucket.tryAcquireInAdvance();
    }

    @Override
    public synchronized long retryMillis(InstanceId target) {
        return 0;
    }

    /**
     * Describes the limits in force, for diagnostics.
     *
     * @return limit and age by target
     */
    public synchronized Map<String, String> describe() {
        long now = ticker.millis();
        Map<String, String> out = new TreeMap<>();
        targets.forEach((target, state) -> {
            if (state.limit != null) {
                out.put(target.value(), state.limit + ", declared " + (now - state.receivedAt) + " ms ago");
            }
        });
        return out;
    }

    /** The limit and the token bucket of one target. */
    private static final class LimitState {

        private final PermitBucket bucket;
        private RateLimit limit;
        private long version;
        private long receivedAt;

        LimitState(RateLimit limit, long version, long now) {
            this.bucket = new PermitBucket(now);
            this.limit = limit;
            this.version = version;
            this.receivedAt = now;
        }

        void changeLimit(RateLimit newLimit, long newVersion, long now) {
            if (limit != null) {
                bucket.refill(PermitBucket.effectiveRate(limit), now);
            } else {
                bucket.reset(now);
            }
            limit = newLimit;
            version = newVersion;
            receivedAt = now;
        }

        LimitReport report(InstanceId target, long now) {
            return new LimitReport(target, limit == null ? null : limit.perSecond(), version, now - receivedAt);
        }
    }
}
