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

/** An entry's state for one rate-limited target: permits, demand and the limit in force. Guarded by {@link EntryPermits}. */
final class LimitedTarget {

    /**
     * How long a permit is valid, in milliseconds from the time at which it was requested: an entry receives a few
     * requests in it. The sum over all entries exceeds the limit by at most the permits of one lease.
     */
    static final long LEASE_MILLIS = 1_000;
    /** How long a request counts as demand. */
    private static final long DEMAND_MILLIS = 1_000;
    /**
     * Maximum demand that is reported; the allocator holds no more permits than an entry can use within a lease.
     */
    private static final int MAX_DEMAND = 64;

    private final Deque<Long> permitExpiry = new ArrayDeque<>();
    private final Deque<Long> demandExpiry = new ArrayDeque<>();
    private LimitStatement statement;
    private boolean unreported;
    private LimitStatement reportedStatement;
    private RateLimit allocatorLimit;
    private long allocatorVersion;
    private long versionKnownAt;
    private int unused;
    private long nextRequestAt;
    private long localPermitFrom = Long.MAX_VALUE;
    private boolean localPermitUsed;

    LimitedTarget(LimitStatement statement) {
        this.statement = statement;
        this.unreported = isLimited();
    }

    LimitStatement statement() {
        return statement;
    }

    boolean isLimited() {
        return statement.limit() != null;
    }

    /** Applies a statement and returns whether it changes the limit. */
    boolean applyStatement(LimitStatement s) {
        if (!s.replaces(statement)) {
            return false;
        }
        boolean changed = !s.isSameLimit(statement.limit());
        statement = s;
        unreported |= changed;
        return changed;
    }

    /**
     * Applies the limit of the control instance, unless this entry has received another one that it has not reported yet.
     *
     * @return whether the limit changes
     */
    boolean applyReport(LimitReport report, long now) {
        boolean isNewVersion = report.version() != allocatorVersion;
        allocatorLimit = report.limit();
        allocatorVersion = report.version();
        versionKnownAt = isNewVersion ? now : versionKnownAt;
        boolean changed = !unreported && !statement.isSameLimit(allocatorLimit);
        if (changed) {
            statement = new LimitStatement(allocatorLimit, now, now);
        }
        return changed;
    }

    /** Returns whether the limit has to be reported to the control instance. */
    boolean isUnreported() {
        return unreported;
    }

    /** Records that the control instance has answered the last report. */
    void markReported() {
        unreported &= statement != reportedStatement;
    }

    /** Creates a report with the version that was known when the request was sent whose response declared the limit. */
    LimitReport report(InstanceId target, long now) {
        reportedStatement = statement;
        long basedOn = statement.requestedAt() >= versionKnownAt ? allocatorVersion : 0;
        Double perSecond = isLimited() ? statement.limit().perSecond() : null;
        return new LimitReport(target, perSecond, basedOn, now - statement.receivedAt());
    }

    /** Records a request that may need a permit. */
    void recordDemand(long now) {
        expire(now);
        if (demandExpiry.size() < MAX_DEMAND) {
            demandExpiry.add(now + DEMAND_MILLIS);
        }
    }

    int demand() {
        return demandExpiry.size();
    }

    int available(long now) {
        expire(now);
        return permitExpiry.size() + (hasLocalPermit(now) ? 1 : 0);
    }

    /** Uses a permit; granted permits before a local one. */
    boolean tryAcquire(long now) {
        expire(now);
        if (permitExpiry.poll() != null) {
            return true;
        }
        boolean local = hasLocalPermit(now);
        localPermitUsed |= local;
        return local;
    }

    /** Adds granted permits, whose lease starts when they were requested. */
    void addPermits(int permits, long requestedAt, long now) {
        for (int i = 0; i < permits; i++) {
            permitExpiry.add(requestedAt + LEASE_MILLIS);
            demandExpiry.poll();
        }
        expire(now);
    }

    void nextRequestAt(long at) {
        nextRequestAt = at;
    }

    /** Returns the ticker time of the next request to the control instance; {@link Long#MAX_VALUE} if there is nothing to request. */
    long requestDueAt(long now) {
        expire(now);
        if (unreported) {
            return now;
        }
        return isKnownToAllocator() && demandExpiry.isEmpty() && unused == 0
                ? Long.MAX_VALUE
                : Math.max(now, nextRequestAt);
    }

    /** Returns the number of permits that expired unused since the last call. */
    int drainUnused() {
        int out = unused;
        unused = 0;
        return out;
    }

    /** Issues a local permit, valid from the given time. */
    void issueLocalPermit(long from) {
        localPermitFrom = from;
        localPermitUsed = false;
    }

    /** Returns the time from which the local permit is valid; {@link Long#MAX_VALUE} if there is none. */
    long localPermitFrom() {
        return localPermitFrom;
    }

    /** Returns whether the local permit is used or expired. */
    boolean isLocalPermitSpent(long now) {
        return localPermitUsed || localPermitFrom != Long.MAX_VALUE && now >= localPermitFrom + LEASE_MILLIS;
    }

    /** Returns whether the control instance has the same limit. */
    boolean isKnownToAllocator() {
        return statement.isSameLimit(allocatorLimit);
    }

    void cancelLocalPermit() {
        localPermitFrom = Long.MAX_VALUE;
    }

    /** Returns the time until the next permit may be available. */
    long retryMillis(long now) {
        return Math.max(1, Math.min(localPermitFrom, Math.max(now, nextRequestAt)) - now);
    }

    private boolean hasLocalPermit(long now) {
        return !localPermitUsed && localPermitFrom <= now && now < localPermitFrom + LEASE_MILLIS;
    }

    private void expire(long now) {
        while (!permitExpiry.isEmpty() && permitExpiry.peek() <= now) {
            permitExpiry.poll();
            unused++;
        }
        while (!demandExpiry.isEmpty() && demandExpiry.peek() <= now) {
            demandExpiry.poll();
        }
    }
}
