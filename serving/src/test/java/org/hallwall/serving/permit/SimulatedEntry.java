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
import java.util.Arrays;
import java.util.List;

import org.hallwall.core.id.InstanceId;

/** An entry that sends requests as its limiter allows, and requests permits like the production code. */
final class SimulatedEntry {

    private static final long MIN_INTERVAL_MILLIS = 50;
    private static final long FAILED_INTERVAL_MILLIS = 200;
    private static final long TIMEOUT_MILLIS = 400;
    private static final int SLOW_ANSWER_ONE_IN = 50;

    private final SimulatedSystem system;
    private final InstanceId id;
    private final int entryCount;
    private final long[] limitKnownSince;
    private ShareLimiter shareLimiter;
    private EntryPermits permits;
    private long incarnation;
    private long suspendedMillis;
    private boolean running = true;
    private boolean suspended;
    private boolean partitioned;
    private boolean asking;
    private long nextRequestAt;
    private long lastFaultEndsAt = Long.MIN_VALUE / 2;
    private int messages;
    private int asks;

    SimulatedEntry(SimulatedSystem system, InstanceId id, int entryCount) {
        this.system = system;
        this.id = id;
        this.entryCount = entryCount;
        this.limitKnownSince = new long[system.targets().size()];
        start();
    }

    /** Replaces {@link EntryPermits}; null keeps it. */
    void setLimiter(ShareLimiter limiter) {
        shareLimiter = limiter;
    }

    private void start() {
        incarnation++;
        running = true;
        asking = false;
        permits = new EntryPermits(this::clock, system.random()::nextDouble);
        permits.entryCount(entryCount);
        Arrays.fill(limitKnownSince, Long.MAX_VALUE);
    }

    /** The monotonic clock, which does not advance while the instance is suspended. */
    long clock() {
        return system.now() - suspendedMillis;
    }

    long incarnation() {
        return incarnation;
    }

    long lastFaultEndsAt() {
        return lastFaultEndsAt;
    }

    int messages() {
        return messages;
    }

    int asks() {
        return asks;
    }

    boolean isRunning() {
        return running && !suspended;
    }

    boolean knowsLimit(int target, long forMillis) {
        return limitKnownSince[target] <= system.now() - forMillis;
    }

    void restart(long millis) {
        recordFault(millis);
        running = false;
        incarnation++;
        system.later(millis, this::start);
    }

    void suspend(long millis) {
        recordFault(millis);
        suspended = true;
        system.later(millis, () -> {
            suspended = false;
            suspendedMillis += millis;
        });
    }

    void partition(long millis) {
        recordFault(millis);
        partitioned = true;
        system.later(millis, () -> partitioned = false);
    }

    private void recordFault(long millis) {
        lastFaultEndsAt = Math.max(lastFaultEndsAt, system.now() + millis);
    }

    /** Sends a request to a target; returns false if no target is available. */
    boolean request() {
        List<Integer> limited = new ArrayList<>();
        List<Integer> others = new ArrayList<>();
        drawDemand();
        for (int t = 0; t < system.targets().size(); t++) {
            if (!limiter().isLimited(target(t))) {
                others.add(t);
            } else if (limiter().hasPermit(target(t))) {
                limited.add(t);
            }
        }
        List<Integer> from = limited.isEmpty() ? others : limited;
        if (from.isEmpty()) {
            return false;
        }
        int chosen = from.get(system.random().nextInt(from.size()));
        limiter().tryAcquire(target(chosen));
        boolean slow = system.random().nextInt(SLOW_ANSWER_ONE_IN) == 0;
        system.send(this, chosen, clock(), slow ? 2_000 : 20 + system.random().nextInt(300));
        return true;
    }

    private void drawDemand() {
        double sum = 0;
        boolean even = system.targets().stream().anyMatch(t -> !limiter().isLimited(t));
        for (InstanceId t : system.targets()) {
            sum += even ? 1 : perSecond(t);
        }
        double drawn = system.random().nextDouble() * sum;
        for (InstanceId t : system.targets()) {
            drawn -= even ? 1 : perSecond(t);
            if (drawn < 0) {
                recordDemand(t);
                return;
            }
        }
    }

    private void recordDemand(InstanceId target) {
        if (shareLimiter == null) {
            permits.recordDemand(target);
        } else {
            shareLimiter.want(target);
        }
    }

    private double perSecond(InstanceId target) {
        return shareLimiter == null ? permits.perSecond(target) : shareLimiter.perSecond(target);
    }

    private RateLimiter limiter() {
        return shareLimiter == null ? permits : shareLimiter;
    }

    private InstanceId target(int t) {
        return system.targets().get(t);
    }

    void answered(long requestIncarnation, int target, double limit, long requestedAt) {
        if (requestIncarnation != incarnation) {
            return;
        }
        if (suspended) {
            system.later(SimulatedSystem.STEP_MILLIS, () -> answered(requestIncarnation, target, limit, requestedAt));
            return;
        }
        RateLimit named = limit < 0 ? null : new RateLimit(limit);
        limiter().applyStatement(target(target), new LimitStatement(named, requestedAt, clock()));
        limitKnownSince[target] = named == null ? Long.MAX_VALUE : Math.min(limitKnownSince[target], system.now());
    }

    void receiveLimits(List<LimitReport> limits) {
        if (isRunning() && !partitioned) {
            permits.applyReports(limits);
        }
    }

    void receiveShare(int target, double limit) {
        if (shareLimiter != null) {
            shareLimiter.applyStatement(target(target), new LimitStatement(new RateLimit(limit), clock(), clock()));
        }
    }

    void requestPermits() {
        long due = isRunning() && shareLimiter == null && !asking ? permits.millisUntilDue() : -1;
        if (due != 0 || clock() < nextRequestAt) {
            return;
        }
        List<PermitDemand> permitRequests = permits.dueRequests();
        if (permitRequests.isEmpty()) {
            return;
        }
        messages++;
        asks += permitRequests.size();
        asking = true;
        long requestedAt = clock();
        long requestIncarnation = incarnation;
        nextRequestAt = requestedAt + FAILED_INTERVAL_MILLIS;
        system.later(1 + system.random().nextInt(8), () -> deliver(permitRequests, requestedAt, requestIncarnation));
        system.later(
                TIMEOUT_MILLIS,
                () -> asking &= requestIncarnation != incarnation || clock() - requestedAt < TIMEOUT_MILLIS);
    }

    private void deliver(List<PermitDemand> permitRequests, long requestedAt, long requestIncarnation) {
        PermitAllocator allocator = system.ledger(this);
        if (allocator == null || partitioned) {
            return;
        }
        List<PermitGrant> grants = allocator.allocate(id, permitRequests);
        system.later(1 + system.random().nextInt(8), () -> receiveGrants(grants, requestedAt, requestIncarnation));
    }

    private void receiveGrants(List<PermitGrant> grants, long requestedAt, long requestIncarnation) {
        if (requestIncarnation != incarnation || partitioned) {
            return;
        }
        if (suspended) {
            system.later(SimulatedSystem.STEP_MILLIS, () -> receiveGrants(grants, requestedAt, requestIncarnation));
            return;
        }
        asking = false;
        nextRequestAt = requestedAt + MIN_INTERVAL_MILLIS;
        permits.applyGrants(grants, requestedAt);
    }
}
