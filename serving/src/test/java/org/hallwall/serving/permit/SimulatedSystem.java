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
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;

import org.hallwall.core.id.InstanceId;

/** Entries, the control instances that keep the accounts, and targets that name limits, on a virtual clock. */
final class SimulatedSystem {

    static final long STEP_MILLIS = 5;
    private static final long TELL_MILLIS = 200;
    private static final long VERSIONS = 1_000_000;
    /** How long a fault excuses what an entry sends. */
    private static final long EXCUSED_MILLIS = 3_000;

    private final Random random;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<LimitWindows> targets = new ArrayList<>();
    private final List<InstanceId> ids = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final double perSecond;
    private final Set<Integer> heard = new HashSet<>();
    private double[] weights;
    private int ledgers;
    private PermitLedger ledger;
    private PermitLedger former;
    private long formerUntil;
    private long now;
    private long order;
    private int requests;
    private int served;

    /**
     * Creates a system.
     *
     * @param entryCount how many entries there are
     * @param targetCount how many targets there are
     * @param perSecond the requests a second of all callers
     * @param limiters makes the limiter of an entry; null for the product's
     * @param seed what chance does
     */
    SimulatedSystem(
            int entryCount,
            int targetCount,
            double perSecond,
            BiFunction<SimulatedSystem, SimulatedEntry, ShareLimiter> limiters,
            long seed) {
        this.random = new Random(seed);
        this.perSecond = perSecond;
        this.ledger = newLedger();
        this.weights = new double[entryCount];
        for (int t = 0; t < targetCount; t++) {
            targets.add(new LimitWindows());
            ids.add(new InstanceId("i-" + t));
        }
        for (int e = 0; e < entryCount; e++) {
            SimulatedEntry entry = new SimulatedEntry(this, new InstanceId("e-" + e), entryCount);
            entry.limitBy(limiters == null ? null : limiters.apply(this, entry));
            entries.add(entry);
            weights[e] = 1;
        }
    }

    long now() {
        return now;
    }

    Random random() {
        return random;
    }

    List<InstanceId> targets() {
        return ids;
    }

    LimitWindows target(int t) {
        return targets.get(t);
    }

    List<SimulatedEntry> entries() {
        return entries;
    }

    /** Gives how the callers' requests are divided over the entries. */
    double[] weights() {
        return weights;
    }

    /** From now on a target names a limit; a negative one means none. */
    void name(int t, double limit) {
        targets.get(t).name(limit, now);
    }

    int requests() {
        return requests;
    }

    int served() {
        return served;
    }

    void at(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    void later(long millis, Runnable action) {
        at(now + millis, action);
    }

    private PermitLedger newLedger() {
        return new PermitLedger(() -> now, ++ledgers * VERSIONS);
    }

    /** Another control instance keeps the accounts from now on; the one before does so too for a moment. */
    void changeLeader(long bothMillis) {
        former = ledger;
        formerUntil = now + bothMillis;
        ledger = newLedger();
    }

    /** No control instance keeps the accounts for a time. */
    void loseLeader(long millis) {
        ledger = null;
        later(millis, () -> ledger = newLedger());
    }

    /** Gives the accounts that an entry would ask; null if there are none. */
    PermitLedger ledger(SimulatedEntry entry) {
        boolean old = now < formerUntil && entries.indexOf(entry) % 2 == 0;
        return old ? former : ledger;
    }

    void run(long until) {
        for (; now < until; now += STEP_MILLIS) {
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            if (now % TELL_MILLIS == 0 && ledger != null) {
                List<LimitReport> limits = ledger.limits();
                entries.forEach(e -> e.told(limits));
                tellShares();
            }
            entries.forEach(SimulatedEntry::step);
            double expected = perSecond * STEP_MILLIS / 1_000;
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int i = 0; i < count; i++) {
                request();
            }
        }
    }

    /** The other ways to divide a limit learn as soon as the product's what any entry has heard. */
    private void tellShares() {
        for (int t = 0; t < targets.size(); t++) {
            double limit = targets.get(t).named(now);
            if (limit >= 0 && heard.contains(t)) {
                for (SimulatedEntry e : entries) {
                    e.toldShares(t, limit);
                }
            }
        }
    }

    private void request() {
        double sum = 0;
        for (double w : weights) {
            sum += w;
        }
        double drawn = random.nextDouble() * sum;
        int e = 0;
        while (e < weights.length - 1 && drawn >= weights[e]) {
            drawn -= weights[e++];
        }
        if (entries.get(e).isRunning()) {
            requests++;
            served += entries.get(e).request() ? 1 : 0;
        }
    }

    /** A request reaches a target, which answers by what it names when the answer leaves. */
    void send(SimulatedEntry entry, int target, long askedAt, long answerMillis) {
        long life = entry.life();
        later(1 + random.nextInt(4), () -> {
            boolean counts = entry.knowsLimit(target, LimitWindows.ON_ITS_WAY_MILLIS)
                    && now - entry.disturbedAt() > EXCUSED_MILLIS;
            targets.get(target).arrived(now, counts);
            later(answerMillis, () -> {
                double limit = targets.get(target).named(now);
                heard.add(target);
                later(1 + random.nextInt(4), () -> entry.answered(life, target, limit, askedAt));
            });
        });
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }
}
