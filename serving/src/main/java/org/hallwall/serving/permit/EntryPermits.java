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
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.jboss.logging.Logger;

/**
 * The permits that an entry holds for rate-limited targets, and its requests for more. While no control instance answers, the entry issues
 * local permits: a fixed fraction of its even share at a random phase, so that partitioned entries do not add up to much more than the
 * limit. Thread-safe.
 */
public final class EntryPermits implements RateLimiter {

    private static final Logger LOG = Logger.getLogger(EntryPermits.class);
    /** The fraction of the limit that all entries together use through local permits. */
    private static final double LOCAL_FRACTION = 0.3;
    /** How long a request may stay unanswered before the entry issues local permits. */
    private static final long ANSWER_TIMEOUT_MILLIS = 600;

    /** The interval at which a limit is reported again while the control instance has another one. */
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** Maximum number of targets; the least recently used one is evicted. */
    private static final int MAX_TARGETS = 4_096;

    private final Ticker ticker;
    private final DoubleSupplier random;
    private final Map<InstanceId, LimitedTarget> targets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, LimitedTarget> eldest) {
            return size() > MAX_TARGETS;
        }
    };
    private Runnable onDue = () -> {};
    private long unansweredSince = Long.MAX_VALUE;
    private int entryCount;

    /**
     * Creates it without rate limits.
     *
     * @param ticker the clock
     * @param random a source of random numbers between 0 and 1
     */
    public EntryPermits(Ticker ticker, DoubleSupplier random) {
        this.ticker = ticker;
        this.random = random;
    }

    /**
     * Sets the listener that is called when a request for permits may be due.
     *
     * @param listener the listener; it must not block
     */
    public synchronized void onDue(Runnable listener) {
        onDue = listener;
    }

    /**
     * Sets the number of entries that share each limit.
     *
     * @param most the recent maximum; zero if unknown
     */
    public synchronized void entryCount(int most) {
        entryCount = most;
    }

    @Override
    public synchronized void applyStatement(InstanceId target, LimitStatement statement) {
        LimitedTarget t = targets.get(target);
        if (t == null) {
            if (statement.limit() == null) {
                return;
            }
            t = new LimitedTarget(statement);
            targets.put(target, t);
            LOG.infof("targets: %s names a rate limit of %s", target, statement.limit());
        } else if (t.applyStatement(statement)) {
            LOG.infof(
                    "targets: %s names %s",
                    target, t.isLimited() ? "a rate limit of " + statement.limit() : "no rate limit any more");
        }
        if (t.requestDueAt(ticker.millis()) < Long.MAX_VALUE) {
            onDue.run();
        }
    }

    /**
     * Applies the limits that other entries have received from targets.
     *
     * @param reports the limits, as the control instance reports them
     */
    public synchronized void applyReports(List<LimitReport> reports) {
        long now = ticker.millis();
        reports.forEach(r -> applyReports(r, now));
    }

    private LimitedTarget applyReports(LimitReport report, long now) {
        LimitedTarget t = targets.get(report.target());
        if (t == null && report.limit() == null) {
            return null;
        }
        if (t == null) {
            t = new LimitedTarget(new LimitStatement(null, now, now));
            targets.put(report.target(), t);
        }
        if (t.applyReport(report, now)) {
            LOG.infof(
                    "targets: %s has named %s to another entry",
                    report.target(), t.isLimited() ? "a rate limit of " + report.limit() : "no rate limit any more");
        }
        return t;
    }

    @Override
    public synchronized boolean isLimited(InstanceId target) {
        LimitedTarget t = targets.get(target);
        return t != null && t.isLimited();
    }

    /**
     * Returns the effective rate limit of a target.
     *
     * @param target the target's start
     * @return requests per second; zero if it has no limit
     */
    public synchronized double perSecond(InstanceId target) {
        LimitedTarget t = targets.get(target);
        return t == null || !t.isLimited()
                ? 0
                : PermitBucket.effectiveRate(t.statement().limit());
    }

    /**
     * Records demand for a permit.
     *
     * @param target the target's start
     */
    public synchronized void recordDemand(InstanceId target) {
        LimitedTarget t = targets.get(target);
        if (t != null && t.isLimited()) {
            t.recordDemand(ticker.millis());
            onDue.run();
        }
    }

    @Override
    public synchronized boolean hasPermit(InstanceId target) {
        LimitedTarget t = targets.get(target);
        return t == null || !t.isLimited() || available(t) > 0;
    }

    @Override
    public synchronized boolean tryAcquire(InstanceId target) {
        LimitedTarget t = targets.get(target);
        if (t == null || !t.isLimited()) {
            return true;
        }
        updateLocalPermit(t, ticker.millis());
        return t.tryAcquire(ticker.millis());
    }

    @Override
    public synchronized long retryMillis(InstanceId target) {
        LimitedTarget t = targets.get(target);
        if (t == null || !t.isLimited() || available(t) > 0) {
            return 0;
        }
        return t.retryMillis(ticker.millis());
    }

    private int available(LimitedTarget t) {
        long now = ticker.millis();
        updateLocalPermit(t, now);
        return t.available(now);
    }

    /** Issues local permits at even intervals with a random phase while no control instance answers. */
    private void updateLocalPermit(LimitedTarget t, long now) {
        if (now - unansweredSince < ANSWER_TIMEOUT_MILLIS || entryCount == 0) {
            t.cancelLocalPermit();
            return;
        }
        double rate = PermitBucket.effectiveRate(t.statement().limit()) * LOCAL_FRACTION / entryCount;
        long interval = Math.max(1, (long) (MILLIS_PER_SECOND / rate));
        if (t.localPermitFrom() == Long.MAX_VALUE) {
            t.issueLocalPermit(now + (long) (interval * random.getAsDouble()));
        } else if (t.isLocalPermitSpent(now)) {
            // intervals that passed unused are skipped
            long missed = Math.max(0, now - LimitedTarget.LEASE_MILLIS - t.localPermitFrom()) / interval;
            t.issueLocalPermit(t.localPermitFrom() + (missed + 1) * interval);
        }
    }

    /**
     * Returns the time until the next request for permits is due.
     *
     * @return the time in milliseconds; negative if there is nothing to request
     */
    public synchronized long millisUntilDue() {
        long now = ticker.millis();
        long due = Long.MAX_VALUE;
        for (LimitedTarget t : targets.values()) {
            due = Math.min(due, t.requestDueAt(now));
        }
        return due == Long.MAX_VALUE ? -1 : due - now;
    }

    /**
     * Returns the requests for permits that are due now.
     *
     * @return one request for each target
     */
    public synchronized List<PermitDemand> dueRequests() {
        long now = ticker.millis();
        List<PermitDemand> out = new ArrayList<>();
        targets.forEach((target, t) -> {
            if (t.requestDueAt(now) <= now) {
                out.add(new PermitDemand(t.report(target, now), t.isUnreported(), t.demand(), t.drainUnused()));
            }
        });
        if (!out.isEmpty()) {
            unansweredSince = Math.min(unansweredSince, now);
        }
        return out;
    }

    /**
     * Applies the answer to a request for permits.
     *
     * @param grants the granted permits
     * @param requestedAt the ticker time at which they were requested
     */
    public synchronized void applyGrants(List<PermitGrant> grants, long requestedAt) {
        long now = ticker.millis();
        unansweredSince = Long.MAX_VALUE;
        for (PermitGrant g : grants) {
            LimitedTarget reported = targets.get(g.limit().target());
            if (reported != null) {
                reported.markReported();
            }
            LimitedTarget t = applyReports(g.limit(), now);
            if (t != null) {
                t.addPermits(g.permits(), requestedAt, now);
                t.nextRequestAt(now + (t.isKnownToAllocator() ? g.retryMillis() : REPORT_INTERVAL_MILLIS));
            }
        }
    }

    /**
     * Returns the number of rate-limited targets.
     *
     * @return the number of targets
     */
    public synchronized int limitedTargets() {
        return (int) targets.values().stream().filter(LimitedTarget::isLimited).count();
    }

    /**
     * Returns the limits in force.
     *
     * @return requests per second by target, as targets declared them
     */
    public synchronized Map<String, Double> limits() {
        Map<String, Double> out = new TreeMap<>();
        targets.forEach((target, t) -> {
            if (t.isLimited()) {
                out.put(target.value(), t.statement().limit().perSecond());
            }
        });
        return out;
    }

    /**
     * Describes the limits in force, for diagnostics.
     *
     * @return limit, age and available permits by target
     */
    public synchronized Map<String, String> describe() {
        long now = ticker.millis();
        Map<String, String> out = new TreeMap<>();
        targets.forEach((target, t) -> {
            if (t.isLimited()) {
                out.put(
                        target.value(),
                        t.statement().limit() + ", declared "
                                + (now - t.statement().receivedAt()) + " ms ago, " + t.available(now)
                                + " permits available");
            }
        });
        return out;
    }
}
