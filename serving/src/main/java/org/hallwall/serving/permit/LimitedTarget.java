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

import java.util.ArrayDeque;
import java.util.Deque;

import org.hallwall.core.id.InstanceId;

/** One target with a rate limit, as an entry sees it: its permits here and the requests that want one. Guarded by {@link EntryPermits}. */
final class LimitedTarget {

    /**
     * How long a permit may be used, in milliseconds from the moment at which it was asked for: a few requests of an entry come in that
     * time, and the sum over all entries in a window exceeds the limit by no more than the permits of one lease.
     */
    static final long LEASE_MILLIS = 1_000;
    /** How long a request that found no permit counts as demand, in milliseconds. */
    private static final long WANT_MILLIS = 1_000;
    /** How many requests count at most; the account holds no more permits than an entry can use in a lease. */
    private static final int MOST_WANTED = 64;

    private final Deque<Long> leasedUntil = new ArrayDeque<>();
    private final Deque<Long> wantedUntil = new ArrayDeque<>();
    private LimitStatement statement;
    private boolean untold;
    private LimitStatement telling;
    private RateLimit accountLimit;
    private long accountVersion;
    private long versionKnownAt;
    private int unused;
    private long askAt;
    private long ownFrom = Long.MAX_VALUE;
    private boolean ownUsed;

    LimitedTarget(LimitStatement statement) {
        this.statement = statement;
        this.untold = isLimited();
    }

    LimitStatement statement() {
        return statement;
    }

    boolean isLimited() {
        return statement.limit() != null;
    }

    /** Takes a statement and says whether it changes the limit. */
    boolean take(LimitStatement s) {
        if (!s.replaces(statement)) {
            return false;
        }
        boolean changed = !s.isSameLimit(statement.limit());
        statement = s;
        untold |= changed;
        return changed;
    }

    /**
     * Takes what the account goes by. It holds for this entry too, unless that has just heard something else which the account was not told.
     *
     * @return whether the limit changes
     */
    boolean learn(LimitReport report, long now) {
        boolean next = report.version() != accountVersion;
        accountLimit = report.limit();
        accountVersion = report.version();
        versionKnownAt = next ? now : versionKnownAt;
        boolean takes = !untold && !statement.isSameLimit(accountLimit);
        if (takes) {
            statement = new LimitStatement(accountLimit, now, now);
        }
        return takes;
    }

    /** Says whether the account is to be told what was heard. */
    boolean isUntold() {
        return untold;
    }

    /** Notes that the account has answered the last report. */
    void told() {
        untold &= statement != telling;
    }

    /** Reports the limit to the account, with the version that was known when the request was sent that was answered. */
    LimitReport report(InstanceId target, long now) {
        telling = statement;
        long basedOn = statement.askedAt() >= versionKnownAt ? accountVersion : 0;
        Double perSecond = isLimited() ? statement.limit().perSecond() : null;
        return new LimitReport(target, perSecond, basedOn, now - statement.heardAt());
    }

    /** Notes a request that may want a permit. */
    void want(long now) {
        expire(now);
        if (wantedUntil.size() < MOST_WANTED) {
            wantedUntil.add(now + WANT_MILLIS);
        }
    }

    int wanted() {
        return wantedUntil.size();
    }

    int held(long now) {
        expire(now);
        return leasedUntil.size() + (hasOwn(now) ? 1 : 0);
    }

    /** Uses up a permit; the account's before the own one. */
    boolean tryTake(long now) {
        expire(now);
        if (leasedUntil.poll() != null) {
            return true;
        }
        boolean own = hasOwn(now);
        ownUsed |= own;
        return own;
    }

    /** Takes permits that were asked for at a moment. */
    void granted(int permits, long askedAt, long now) {
        for (int i = 0; i < permits; i++) {
            leasedUntil.add(askedAt + LEASE_MILLIS);
            wantedUntil.poll();
        }
        expire(now);
    }

    void askAt(long at) {
        askAt = at;
    }

    /** Says when the account is to be asked, on the own clock; never if there is nothing to ask or to tell. */
    long dueAt(long now) {
        expire(now);
        if (untold) {
            return now;
        }
        return isKnownToAccount() && wantedUntil.isEmpty() && unused == 0 ? Long.MAX_VALUE : Math.max(now, askAt);
    }

    /** Gives the permits that were not used, once. */
    int takeUnused() {
        int out = unused;
        unused = 0;
        return out;
    }

    /** Plans a permit of this entry's own, for as long as the account cannot be asked. */
    void planOwn(long from) {
        ownFrom = from;
        ownUsed = false;
    }

    /** Says when the own permit may be used from; never if none is planned. */
    long ownFrom() {
        return ownFrom;
    }

    /** Says whether the own permit is used or its time is over. */
    boolean isOwnOver(long now) {
        return ownUsed || ownFrom != Long.MAX_VALUE && now >= ownFrom + LEASE_MILLIS;
    }

    /** Says whether the account knows the same limit. */
    boolean isKnownToAccount() {
        return statement.isSameLimit(accountLimit);
    }

    void dropOwn() {
        ownFrom = Long.MAX_VALUE;
    }

    /** Says how long until the next permit may be there. */
    long retryMillis(long now) {
        return Math.max(1, Math.min(ownFrom, Math.max(now, askAt)) - now);
    }

    private boolean hasOwn(long now) {
        return !ownUsed && ownFrom <= now && now < ownFrom + LEASE_MILLIS;
    }

    private void expire(long now) {
        while (!leasedUntil.isEmpty() && leasedUntil.peek() <= now) {
            leasedUntil.poll();
            unused++;
        }
        while (!wantedUntil.isEmpty() && wantedUntil.peek() <= now) {
            wantedUntil.poll();
        }
    }
}
