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
 * The accounts of all targets with a rate limit, kept by the control instance that controls the groups. Its own orders and probes take
 * their permits here at once. An account that is new begins empty: permits that its predecessor has lent may still be used. Safe for
 * all threads.
 */
public final class PermitLedger implements RateLimiter {

    /** Targets that are remembered at most; the one that was asked about least lately goes first. */
    private static final int MOST_REMEMBERED = 4_096;
    /** How long entries are told that a limit has ended, in milliseconds; later they hear it when they ask. */
    private static final long TELL_END_MILLIS = 10_000;

    private final Ticker ticker;
    private long version;
    private final Map<InstanceId, Limited> targets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, Limited> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };

    /**
     * Creates a ledger without accounts.
     *
     * @param ticker the clock
     * @param firstVersion what versions of limits begin after; another one for each ledger that there is or was
     */
    public PermitLedger(Ticker ticker, long firstVersion) {
        this.ticker = ticker;
        this.version = firstVersion;
    }

    /**
     * Answers an entry.
     *
     * @param entry who asks
     * @param asks what it knows and wants, by target
     * @return what it gets, in the same order
     */
    public synchronized List<PermitGrant> take(InstanceId entry, List<PermitAsk> asks) {
        List<PermitGrant> out = new ArrayList<>();
        for (PermitAsk a : asks) {
            out.add(take(entry, a));
        }
        return out;
    }

    private PermitGrant take(InstanceId entry, PermitAsk ask) {
        long now = ticker.millis();
        InstanceId target = ask.limit().target();
        if (ask.heard() || !targets.containsKey(target)) {
            learn(ask.limit());
        }
        Limited l = targets.get(target);
        if (l == null) {
            return new PermitGrant(ask.limit(), ask.wanted(), 0);
        }
        if (l.limit == null) {
            return new PermitGrant(l.report(target, now), ask.wanted(), 0);
        }
        double rate = PermitAccount.rate(l.limit);
        l.account.fill(rate, now);
        l.account.giveBack(rate, ask.unused());
        int permits = l.account.take(entry, ask.wanted());
        long retry = permits < ask.wanted() ? l.account.await(entry, rate, now) : 0;
        return new PermitGrant(l.report(target, now), permits, retry);
    }

    @Override
    public synchronized void take(InstanceId target, LimitStatement statement) {
        if (statement.limit() != null) {
            learn(new LimitReport(target, statement.limit().perSecond(), 0, 0));
        }
    }

    private void learn(LimitReport report) {
        Limited l = targets.get(report.target());
        long now = ticker.millis();
        if (l == null) {
            if (report.limit() != null) {
                targets.put(report.target(), new Limited(report.limit(), ++version, now));
            }
            return;
        }
        if (Objects.equals(report.limit(), l.limit)) {
            l.heardAt = Math.max(l.heardAt, now - report.ageMillis());
            return;
        }
        boolean stricter = report.limit() != null && report.limit().isStricterThan(l.limit);
        if (stricter || report.version() == l.version) {
            l.set(report.limit(), ++version, now);
        }
    }

    /**
     * Lists the limits for entries that have not heard them: those in force, and those that have just ended.
     *
     * @return what targets have said, by target
     */
    public synchronized List<LimitReport> limits() {
        long now = ticker.millis();
        List<LimitReport> out = new ArrayList<>();
        targets.forEach((target, l) -> {
            if (l.limit != null || now - l.heardAt < TELL_END_MILLIS) {
                out.add(l.report(target, now));
            }
        });
        return out;
    }

    @Override
    public synchronized boolean isLimited(InstanceId target) {
        Limited l = targets.get(target);
        return l != null && l.limit != null;
    }

    @Override
    public synchronized boolean hasPermit(InstanceId target) {
        return true;
    }

    @Override
    public synchronized boolean tryTake(InstanceId target) {
        Limited l = targets.get(target);
        if (l == null || l.limit == null) {
            return true;
        }
        l.account.fill(PermitAccount.rate(l.limit), ticker.millis());
        return l.account.tryTakeAhead();
    }

    @Override
    public synchronized long retryMillis(InstanceId target) {
        return 0;
    }

    /**
     * Tells the limits in force, for people.
     *
     * @return limit and age by target
     */
    public synchronized Map<String, String> describe() {
        long now = ticker.millis();
        Map<String, String> out = new TreeMap<>();
        targets.forEach((target, l) -> {
            if (l.limit != null) {
                out.put(target.value(), l.limit + ", said " + (now - l.heardAt) + " ms ago");
            }
        });
        return out;
    }

    /** What is known of one target. */
    private static final class Limited {

        private final PermitAccount account;
        private RateLimit limit;
        private long version;
        private long heardAt;

        Limited(RateLimit limit, long version, long now) {
            this.account = new PermitAccount(now);
            this.limit = limit;
            this.version = version;
            this.heardAt = now;
        }

        void set(RateLimit next, long nextVersion, long now) {
            if (limit != null) {
                account.fill(PermitAccount.rate(limit), now);
            } else {
                account.empty(now);
            }
            limit = next;
            version = nextVersion;
            heardAt = now;
        }

        LimitReport report(InstanceId target, long now) {
            return new LimitReport(target, limit == null ? null : limit.perSecond(), version, now - heardAt);
        }
    }
}
