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

/** Entries, control instances and rate-limited targets on a virtual clock. */
final class SimulatedSystem {

    static final long STEP_MILLIS = 5;
    private static final long PUBLISH_MILLIS = 200;
    private static final long VERSIONS = 1_000_000;
    /** How long after a fault an entry's requests are not counted. */
    private static final long RECOVERY_MILLIS = 3_000;

    private final Random random;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<LimitWindows> targets = new ArrayList<>();
    private final List<InstanceId> ids = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final double perSecond;
    private final Set<Integer> announced = new HashSet<>();
    private double[] weights;
    private int ledgers;
    private PermitAllocator allocator;
    private PermitAllocator former;
    private long formerUntil;
    private long now;
    private long order;
    private int requests;
    private int served;

    /**
     * Creates a system.
     *
     * @param entryCount the number of entries
     * @param targetCount the number of targets
     * @param perSecond the requests per second of all callers
     * @param limiters creates the limiter of an entry; null for {@link EntryPermits}
     * @param seed the random seed
     */
    SimulatedSystem(
            int entryCount,
            int targetCount,
            double perSecond,
            BiFunction<SimulatedSystem, SimulatedEntry, ShareLimiter> limiters,
            long seed) {
        this.random = new Random(seed);
        this.perSecond = perSecond;
        this.allocator = newLedger();
        this.weights = new double[entryCount];
        for (int t = 0; t < targetCount; t++) {
            targets.add(new LimitWindows());
            ids.add(new InstanceId("i-" + t));
        }
        for (int e = 0; e < entryCount; e++) {
            SimulatedEntry entry = new SimulatedEntry(this, new InstanceId("e-" + e), entryCount);
            entry.setLimiter(limiters == null ? null : limiters.apply(this, entry));
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

    /** Returns the mutable weights by which requests are distributed over the entries. */
    double[] weights() {
        return weights;
    }

    /** Sets the limit that a target declares; negative for none. */
    void setLimit(int t, double limit) {
        targets.get(t).setLimit(limit, now);
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

    private PermitAllocator newLedger() {
        return new PermitAllocator(() -> now, ++ledgers * VERSIONS);
    }

    /** Changes the leader; the former one also answers requests for a time. */
    void changeLeader(long overlapMillis) {
        former = allocator;
        formerUntil = now + overlapMillis;
        allocator = newLedger();
    }

    /** Leaves the system without a leader for a time. */
    void loseLeader(long millis) {
        allocator = null;
        later(millis, () -> allocator = newLedger());
    }

    /** Returns the ledger that an entry would reach; null if there is none. */
    PermitAllocator ledger(SimulatedEntry entry) {
        boolean old = now < formerUntil && entries.indexOf(entry) % 2 == 0;
        return old ? former : allocator;
    }

    void run(long until) {
        for (; now < until; now += STEP_MILLIS) {
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            if (now % PUBLISH_MILLIS == 0 && allocator != null) {
                List<LimitReport> limits = allocator.limits();
                entries.forEach(e -> e.receiveLimits(limits));
                publishShares();
            }
            entries.forEach(SimulatedEntry::requestPermits);
            double expected = perSecond * STEP_MILLIS / 1_000;
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int i = 0; i < count; i++) {
                request();
            }
        }
    }

    /** Distributes limits to {@link ShareLimiter}s at the same time as to {@link EntryPermits}. */
    private void publishShares() {
        for (int t = 0; t < targets.size(); t++) {
            double limit = targets.get(t).limitAt(now);
            if (limit >= 0 && announced.contains(t)) {
                for (SimulatedEntry e : entries) {
                    e.receiveShare(t, limit);
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

    /** Delivers a request to a target, whose response declares the limit in force when it is sent. */
    void send(SimulatedEntry entry, int target, long requestedAt, long answerMillis) {
        long incarnation = entry.incarnation();
        later(1 + random.nextInt(4), () -> {
            boolean counts = entry.knowsLimit(target, LimitWindows.IN_FLIGHT_MILLIS)
                    && now - entry.lastFaultEndsAt() > RECOVERY_MILLIS;
            targets.get(target).recordArrival(now, counts);
            later(answerMillis, () -> {
                double limit = targets.get(target).limitAt(now);
                announced.add(target);
                later(1 + random.nextInt(4), () -> entry.answered(incarnation, target, limit, requestedAt));
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
