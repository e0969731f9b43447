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

/** An entry that sends requests as its limiter allows, and asks for permits as the product's exchange does. */
final class SimulatedEntry {

    private static final long PACE_MILLIS = 50;
    private static final long FAILED_PACE_MILLIS = 200;
    private static final long TIMEOUT_MILLIS = 400;
    private static final int SLOW_ANSWER_IN = 50;

    private final SimulatedSystem system;
    private final InstanceId id;
    private final int entryCount;
    private final long[] knowsSince;
    private ShareLimiter shares;
    private EntryPermits permits;
    private long life;
    private long stoodStill;
    private boolean running = true;
    private boolean frozen;
    private boolean cut;
    private boolean asking;
    private long notBefore;
    private long disturbedAt = Long.MIN_VALUE / 2;
    private int messages;
    private int asks;

    SimulatedEntry(SimulatedSystem system, InstanceId id, int entryCount) {
        this.system = system;
        this.id = id;
        this.entryCount = entryCount;
        this.knowsSince = new long[system.targets().size()];
        start();
    }

    /** Replaces the product's limiter. */
    void limitBy(ShareLimiter limiter) {
        shares = limiter;
    }

    private void start() {
        life++;
        running = true;
        asking = false;
        permits = new EntryPermits(this::clock, system.random()::nextDouble);
        permits.entries(entryCount);
        Arrays.fill(knowsSince, Long.MAX_VALUE);
    }

    /** The steady clock of a suspended instance stands still. */
    long clock() {
        return system.now() - stoodStill;
    }

    long life() {
        return life;
    }

    long disturbedAt() {
        return disturbedAt;
    }

    int messages() {
        return messages;
    }

    int asks() {
        return asks;
    }

    boolean isRunning() {
        return running && !frozen;
    }

    boolean knowsLimit(int target, long forMillis) {
        return knowsSince[target] <= system.now() - forMillis;
    }

    // --- faults

    void restart(long millis) {
        disturb(millis);
        running = false;
        life++;
        system.later(millis, this::start);
    }

    void freeze(long millis) {
        disturb(millis);
        frozen = true;
        system.later(millis, () -> {
            frozen = false;
            stoodStill += millis;
        });
    }

    void cut(long millis) {
        disturb(millis);
        cut = true;
        system.later(millis, () -> cut = false);
    }

    private void disturb(long millis) {
        disturbedAt = Math.max(disturbedAt, system.now() + millis);
    }

    // --- requests

    /** Sends a request to a target; false if it is refused. */
    boolean request() {
        List<Integer> limited = new ArrayList<>();
        List<Integer> others = new ArrayList<>();
        want();
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
        limiter().tryTake(target(chosen));
        boolean slow = system.random().nextInt(SLOW_ANSWER_IN) == 0;
        system.send(this, chosen, clock(), slow ? 2_000 : 20 + system.random().nextInt(300));
        return true;
    }

    private void want() {
        double sum = 0;
        boolean even = system.targets().stream().anyMatch(t -> !limiter().isLimited(t));
        for (InstanceId t : system.targets()) {
            sum += even ? 1 : perSecond(t);
        }
        double drawn = system.random().nextDouble() * sum;
        for (InstanceId t : system.targets()) {
            drawn -= even ? 1 : perSecond(t);
            if (drawn < 0) {
                wanted(t);
                return;
            }
        }
    }

    private void wanted(InstanceId target) {
        if (shares == null) {
            permits.want(target);
        } else {
            shares.want(target);
        }
    }

    private double perSecond(InstanceId target) {
        return shares == null ? permits.perSecond(target) : shares.perSecond(target);
    }

    private RateLimiter limiter() {
        return shares == null ? permits : shares;
    }

    private InstanceId target(int t) {
        return system.targets().get(t);
    }

    void answered(long sentIn, int target, double limit, long askedAt) {
        if (sentIn != life) {
            return;
        }
        if (frozen) {
            system.later(SimulatedSystem.STEP_MILLIS, () -> answered(sentIn, target, limit, askedAt));
            return;
        }
        RateLimit named = limit < 0 ? null : new RateLimit(limit);
        limiter().take(target(target), new LimitStatement(named, askedAt, clock()));
        knowsSince[target] = named == null ? Long.MAX_VALUE : Math.min(knowsSince[target], system.now());
    }

    // --- the accounts

    void told(List<LimitReport> limits) {
        if (isRunning() && !cut) {
            permits.learn(limits);
        }
    }

    void toldShares(int target, double limit) {
        if (shares != null) {
            shares.take(target(target), new LimitStatement(new RateLimit(limit), clock(), clock()));
        }
    }

    void step() {
        long due = isRunning() && shares == null && !asking ? permits.dueMillis() : -1;
        if (due != 0 || clock() < notBefore) {
            return;
        }
        List<PermitAsk> wanted = permits.asks();
        if (wanted.isEmpty()) {
            return;
        }
        messages++;
        asks += wanted.size();
        asking = true;
        long askedAt = clock();
        long sentIn = life;
        notBefore = askedAt + FAILED_PACE_MILLIS;
        system.later(1 + system.random().nextInt(8), () -> reach(wanted, askedAt, sentIn));
        system.later(TIMEOUT_MILLIS, () -> asking &= sentIn != life || clock() - askedAt < TIMEOUT_MILLIS);
    }

    private void reach(List<PermitAsk> wanted, long askedAt, long sentIn) {
        PermitLedger ledger = system.ledger(this);
        if (ledger == null || cut) {
            return;
        }
        List<PermitGrant> grants = ledger.take(id, wanted);
        system.later(1 + system.random().nextInt(8), () -> taken(grants, askedAt, sentIn));
    }

    private void taken(List<PermitGrant> grants, long askedAt, long sentIn) {
        if (sentIn != life || cut) {
            return;
        }
        if (frozen) {
            system.later(SimulatedSystem.STEP_MILLIS, () -> taken(grants, askedAt, sentIn));
            return;
        }
        asking = false;
        notBefore = askedAt + PACE_MILLIS;
        permits.take(grants, askedAt);
    }
}
