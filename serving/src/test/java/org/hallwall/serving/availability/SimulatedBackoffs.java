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
package org.hallwall.serving.availability;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.permit.RateLimiter;

/** Entries and targets that reject requests and back off, on a virtual clock; rejected callers retry once. */
final class SimulatedBackoffs {

    /** How entries treat a target that backs off. */
    enum Policy {
        /** They ignore the backoff. */
        IGNORED,
        /** They send nothing until the backoff ends; the production policy. */
        OBEYED,
        /** As OBEYED; afterwards each entry sends a single request first. */
        FIRST_ALONE,
        /** As FIRST_ALONE; the first requests of the entries are spread over time. */
        SPREAD,
        /** As SPREAD; entries also exchange backoffs. */
        TOLD
    }

    /** Why targets reject requests. */
    enum Fault {
        /** Half of the targets reject nine in ten requests for 8 s. */
        HALF_UNWELL,
        /** All targets reject nine in ten requests for 3 s. */
        ALL_UNWELL,
        /** The load doubles for 5 s, and full targets reject requests. */
        CROWD
    }

    private static final int SLOTS = 18;
    private static final int QUEUE = 6;
    private static final long BACKOFF_MILLIS = 3_000;
    private static final long STEP_MILLIS = 5;
    private static final long EXCHANGE_MILLIS = 200;
    private static final long FIRST_EVENT_MILLIS = 80;
    private static final long FIRST_TIMEOUT_MILLIS = 1_000;
    private static final int SPREAD_MILLIS_PER_ENTRY = 5;
    private static final double REJECTED_FRACTION = 0.9;
    private static final long MIN_RUN_MILLIS = 500;
    private static final int RUN_SPREAD_MILLIS = 1_000;
    private static final long FAULT_AT_MILLIS = 5_000;
    private static final long END_MILLIS = 30_000;
    private static final long CALLER_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_ATTEMPTS = 4;

    private final Policy policy;
    private final Fault fault;
    private final double load;
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final int[] running;
    private final int[] runningBefore;
    private final boolean[] unhealthy;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private int arrivals;
    private int rejected;
    private int sentDuringBackoff;
    private int requests;
    private int served;

    /** Creates a simulation in which the base load uses the given fraction of all slots. */
    SimulatedBackoffs(int entryCount, int targets, double load, Policy policy, Fault fault, long seed) {
        this.load = load;
        this.policy = policy;
        this.fault = fault;
        this.random = new Random(seed);
        this.running = new int[targets];
        this.runningBefore = new int[targets];
        this.unhealthy = new boolean[targets];
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry());
        }
    }

    SimulatedBackoffs run() {
        double perStep = load * running.length * SLOTS * STEP_MILLIS / (MIN_RUN_MILLIS + RUN_SPREAD_MILLIS / 2.0);
        for (; now < END_MILLIS; now += STEP_MILLIS) {
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            if (now % EXCHANGE_MILLIS == 0) {
                System.arraycopy(running, 0, runningBefore, 0, running.length);
                updateFaults();
            }
            double expected = perStep * (isFaultActive() && fault == Fault.CROWD ? 2 : 1);
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int i = 0; i < count; i++) {
                requests++;
                arrive(true);
            }
        }
        return this;
    }

    private boolean isFaultActive() {
        long duration = fault == Fault.HALF_UNWELL ? 8_000 : fault == Fault.CROWD ? 5_000 : 3_000;
        return now >= FAULT_AT_MILLIS && now < FAULT_AT_MILLIS + duration;
    }

    private void updateFaults() {
        for (int t = 0; t < unhealthy.length; t++) {
            boolean affected = fault == Fault.ALL_UNWELL || fault == Fault.HALF_UNWELL && t % 2 == 0;
            unhealthy[t] = affected && isFaultActive();
        }
    }

    private void arrive(boolean first) {
        Entry e = entries.get(random.nextInt(entries.size()));
        long retryMillis = e.serve();
        if (retryMillis == 0) {
            served++;
        } else if (first) {
            later(Math.min(retryMillis, CALLER_TIMEOUT_MILLIS / 3), () -> arrive(false));
        }
    }

    private void later(long millis, Runnable action) {
        events.add(new Event(now + millis, events.size(), action));
    }

    int arrivals() {
        return arrivals;
    }

    /** Returns the number of requests sent to targets during a backoff that their sender knew of. */
    int sentDuringBackoff() {
        return sentDuringBackoff;
    }

    int rejected() {
        return rejected;
    }

    int requests() {
        return requests;
    }

    int served() {
        return served;
    }

    private record Event(long at, int order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Integer.compare(order, other.order);
        }
    }

    private final class Entry {

        private final TargetAvailability availability = new TargetAvailability(() -> now, RateLimiter.UNLIMITED);
        private final long[] waitsUntil = new long[running.length];
        private final boolean[] firstAlone = new boolean[running.length];

        /** Returns zero if a target accepts the request, otherwise the retry delay of its caller in milliseconds. */
        long serve() {
            boolean[] tried = new boolean[running.length];
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                int t = choose(tried);
                if (t < 0) {
                    return Math.max(250, earliest());
                }
                tried[t] = true;
                if (send(t)) {
                    return 0;
                }
            }
            return 250;
        }

        private int choose(boolean[] tried) {
            List<Integer> candidates = new ArrayList<>();
            for (int t = 0; t < tried.length; t++) {
                if (!tried[t] && maySend(t)) {
                    candidates.add(t);
                }
            }
            if (candidates.isEmpty()) {
                return -1;
            }
            int one = candidates.get(random.nextInt(candidates.size()));
            int other = candidates.get(random.nextInt(candidates.size()));
            return runningBefore[one] <= runningBefore[other] ? one : other;
        }

        private boolean maySend(int t) {
            return policy == Policy.IGNORED || availability.isAvailable(id(t)) && now >= waitsUntil[t];
        }

        private long earliest() {
            long out = Long.MAX_VALUE;
            for (int t = 0; t < running.length; t++) {
                out = Math.min(out, availability.backoffMillis(id(t)));
            }
            return out;
        }

        private boolean send(int t) {
            boolean first = firstAlone[t];
            if (first) {
                waitsUntil[t] = now + FIRST_TIMEOUT_MILLIS;
            }
            arrivals++;
            if (!availability.isAvailable(id(t))) {
                sentDuringBackoff++;
            }
            boolean full = running[t] >= SLOTS + QUEUE;
            if (full || unhealthy[t] && random.nextDouble() < REJECTED_FRACTION) {
                rejected++;
                reject(t);
                return false;
            }
            running[t]++;
            later(FIRST_EVENT_MILLIS, () -> firstAlone[t] &= !first);
            later(FIRST_EVENT_MILLIS, () -> waitsUntil[t] = first ? now : waitsUntil[t]);
            later(MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS), () -> running[t]--);
            return true;
        }

        private void reject(int t) {
            availability.applyNotice(id(t), TargetNotice.backoff(BACKOFF_MILLIS));
            firstAlone[t] = policy.ordinal() >= Policy.FIRST_ALONE.ordinal();
            if (policy.ordinal() >= Policy.SPREAD.ordinal()) {
                waitsUntil[t] = now + BACKOFF_MILLIS + random.nextInt(SPREAD_MILLIS_PER_ENTRY * entries.size());
            }
            if (policy == Policy.TOLD) {
                shareBackoff(t);
            }
        }

        private void shareBackoff(int t) {
            long until = now + BACKOFF_MILLIS;
            later(
                    EXCHANGE_MILLIS,
                    () -> entries.stream()
                            .filter(e -> e != this && !e.availability.isBackingOff(id(t)))
                            .forEach(e -> e.availability.applyNotice(id(t), TargetNotice.backoff(until - now))));
        }

        private InstanceId id(int t) {
            return new InstanceId("i-" + t);
        }
    }
}
