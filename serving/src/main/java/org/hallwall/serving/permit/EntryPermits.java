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
 * An entry's permits for targets with a rate limit, and what it asks their accounts for. While no account answers, it gives itself a
 * fixed part of its even share, at moments that chance draws: so neither all entries that are cut off nor both sides of a cut
 * add up to much more than the limit. Safe for all threads.
 */
public final class EntryPermits implements RateLimiter {

    private static final Logger LOG = Logger.getLogger(EntryPermits.class);
    /** The part of the limit that all entries together use without an account. */
    private static final double ALONE_PART = 0.3;
    /** How long an account may be silent before the entry goes by its own share, in milliseconds: a lease and a round trip. */
    private static final long SILENT_MILLIS = 600;

    /** When an account that goes by another statement is told the own one again, in milliseconds. */
    private static final long AGAIN_MILLIS = 1_000;

    private static final double MILLIS_A_SECOND = 1_000;
    /** Targets that are remembered at most; the one that was used least lately goes first. */
    private static final int MOST_REMEMBERED = 4_096;

    private final Ticker ticker;
    private final DoubleSupplier random;
    private final Map<InstanceId, LimitedTarget> targets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, LimitedTarget> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };
    private Runnable onDue = () -> {};
    private long unansweredSince = Long.MAX_VALUE;
    private int entries;

    /**
     * Creates it; no target has a limit.
     *
     * @param ticker the clock
     * @param random draws from 0 to 1
     */
    public EntryPermits(Ticker ticker, DoubleSupplier random) {
        this.ticker = ticker;
        this.random = random;
    }

    /**
     * Sets what is told when there may be something to ask the accounts.
     *
     * @param listener what is told; it must not block
     */
    public synchronized void onDue(Runnable listener) {
        onDue = listener;
    }

    /**
     * Tells how many entries share each limit.
     *
     * @param most the most that there were lately; zero if that is not known
     */
    public synchronized void entries(int most) {
        entries = most;
    }

    @Override
    public synchronized void take(InstanceId target, LimitStatement statement) {
        LimitedTarget t = targets.get(target);
        if (t == null) {
            if (statement.limit() == null) {
                return;
            }
            t = new LimitedTarget(statement);
            targets.put(target, t);
            LOG.infof("targets: %s names a rate limit of %s", target, statement.limit());
        } else if (t.take(statement)) {
            LOG.infof(
                    "targets: %s names %s",
                    target, t.isLimited() ? "a rate limit of " + statement.limit() : "no rate limit any more");
        }
        if (t.dueAt(ticker.millis()) < Long.MAX_VALUE) {
            onDue.run();
        }
    }

    /**
     * Takes what other entries have heard, as the accounts tell.
     *
     * @param reports what targets have said
     */
    public synchronized void learn(List<LimitReport> reports) {
        long now = ticker.millis();
        reports.forEach(r -> learn(r, now));
    }

    private LimitedTarget learn(LimitReport report, long now) {
        LimitedTarget t = targets.get(report.target());
        if (t == null && report.limit() == null) {
            return null;
        }
        if (t == null) {
            t = new LimitedTarget(new LimitStatement(null, now, now));
            targets.put(report.target(), t);
        }
        if (t.learn(report, now)) {
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
     * Gives the limit of a target.
     *
     * @param target the start of the target
     * @return requests a second; zero if it has none
     */
    public synchronized double perSecond(InstanceId target) {
        LimitedTarget t = targets.get(target);
        return t == null || !t.isLimited()
                ? 0
                : PermitAccount.rate(t.statement().limit());
    }

    /**
     * Notes a request that would go to a limited target.
     *
     * @param target the start of the target
     */
    public synchronized void want(InstanceId target) {
        LimitedTarget t = targets.get(target);
        if (t != null && t.isLimited()) {
            t.want(ticker.millis());
            onDue.run();
        }
    }

    @Override
    public synchronized boolean hasPermit(InstanceId target) {
        LimitedTarget t = targets.get(target);
        return t == null || !t.isLimited() || held(t) > 0;
    }

    @Override
    public synchronized boolean tryTake(InstanceId target) {
        LimitedTarget t = targets.get(target);
        if (t == null || !t.isLimited()) {
            return true;
        }
        planOwn(t, ticker.millis());
        return t.tryTake(ticker.millis());
    }

    @Override
    public synchronized long retryMillis(InstanceId target) {
        LimitedTarget t = targets.get(target);
        if (t == null || !t.isLimited() || held(t) > 0) {
            return 0;
        }
        return t.retryMillis(ticker.millis());
    }

    private int held(LimitedTarget t) {
        long now = ticker.millis();
        planOwn(t, now);
        return t.held(now);
    }

    /** Without an account the entry's own permits come at even distances, from a moment that chance draws. */
    private void planOwn(LimitedTarget t, long now) {
        if (now - unansweredSince < SILENT_MILLIS || entries == 0) {
            t.dropOwn();
            return;
        }
        double rate = PermitAccount.rate(t.statement().limit()) * ALONE_PART / entries;
        long distance = Math.max(1, (long) (MILLIS_A_SECOND / rate));
        if (t.ownFrom() == Long.MAX_VALUE) {
            t.planOwn(now + (long) (distance * random.getAsDouble()));
        } else if (t.isOwnOver(now)) {
            // those whose time passed unseen are not made up for
            long missed = Math.max(0, now - LimitedTarget.LEASE_MILLIS - t.ownFrom()) / distance;
            t.planOwn(t.ownFrom() + (missed + 1) * distance);
        }
    }

    /**
     * Says when the accounts are to be asked.
     *
     * @return milliseconds from now; negative if there is nothing to ask
     */
    public synchronized long dueMillis() {
        long now = ticker.millis();
        long due = Long.MAX_VALUE;
        for (LimitedTarget t : targets.values()) {
            due = Math.min(due, t.dueAt(now));
        }
        return due == Long.MAX_VALUE ? -1 : due - now;
    }

    /**
     * Gives what is to be asked now.
     *
     * @return the asks, by target
     */
    public synchronized List<PermitAsk> asks() {
        long now = ticker.millis();
        List<PermitAsk> out = new ArrayList<>();
        targets.forEach((target, t) -> {
            if (t.dueAt(now) <= now) {
                out.add(new PermitAsk(t.report(target, now), t.isUntold(), t.wanted(), t.takeUnused()));
            }
        });
        if (!out.isEmpty()) {
            unansweredSince = Math.min(unansweredSince, now);
        }
        return out;
    }

    /**
     * Takes the answer of the accounts.
     *
     * @param grants what this entry gets
     * @param askedAt when it asked, on the own clock
     */
    public synchronized void take(List<PermitGrant> grants, long askedAt) {
        long now = ticker.millis();
        unansweredSince = Long.MAX_VALUE;
        for (PermitGrant g : grants) {
            LimitedTarget told = targets.get(g.limit().target());
            if (told != null) {
                told.told();
            }
            LimitedTarget t = learn(g.limit(), now);
            if (t != null) {
                t.granted(g.permits(), askedAt, now);
                t.askAt(now + (t.isKnownToAccount() ? g.retryMillis() : AGAIN_MILLIS));
            }
        }
    }

    /**
     * Counts the targets with a limit.
     *
     * @return how many
     */
    public synchronized int limited() {
        return (int) targets.values().stream().filter(LimitedTarget::isLimited).count();
    }

    /**
     * Gives the limits in force.
     *
     * @return requests a second by target, as targets have named them
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
     * Tells the limits in force, for people.
     *
     * @return limit, age and permits by target
     */
    public synchronized Map<String, String> describe() {
        long now = ticker.millis();
        Map<String, String> out = new TreeMap<>();
        targets.forEach((target, t) -> {
            if (t.isLimited()) {
                out.put(
                        target.value(),
                        t.statement().limit() + ", said " + (now - t.statement().heardAt()) + " ms ago, " + t.held(now)
                                + " permits here");
            }
        });
        return out;
    }
}
