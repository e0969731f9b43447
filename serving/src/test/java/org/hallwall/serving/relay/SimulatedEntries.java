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
package org.hallwall.serving.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.target.RetryLeaseReport;
import org.junit.jupiter.api.Assertions;

/**
 * Simulates the retry budgets of many entries on a virtual clock, with uneven client load, services whose requests all
 * fail, and restarts and partitions of entries and control instances.
 */
final class SimulatedEntries {

    static final double RATIO = 0.2;
    static final double EXTRA = 134;
    static final long WINDOW = 10_000;
    static final String BUSY = "busy";
    static final String IDLE = "idle";

    private static final long STEP_MILLIS = 100;
    private static final int RETRIES_PER_REQUEST = 4;
    /** The longest time between two polls. */
    private static final long REPORT_INTERVAL_MILLIS = 400;

    private static final int TARGETS = 6;

    private final Random random;
    private final Random targetRandom;
    private final double requestsPerSecond;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final SimulatedControls controls;
    private final long[] stoppedUntil = new long[TARGETS];
    private final long[] endedUntil = new long[TARGETS];
    private final List<List<UnreadAttempt>> unread = new ArrayList<>();
    private final Map<String, TreeMap<Long, Integer>> requests = new HashMap<>();
    private final Map<String, TreeMap<Long, Integer>> retries = new HashMap<>();
    private long now = 1_000_000;
    private double idleLoadFactor = 1;
    private int nextId;

    /** Creates entries that all start at once. */
    SimulatedEntries(int count, double requestsASecond, long seed) {
        this(count, requestsASecond, seed, 0);
    }

    /** Creates entries that start for the first time, one after the other at an interval. */
    SimulatedEntries(int count, double requestsASecond, long seed, long startIntervalMillis) {
        this.random = new Random(seed);
        this.targetRandom = new Random(seed);
        this.requestsPerSecond = requestsASecond;
        this.controls = new SimulatedControls(() -> now);
        for (int i = 0; i < TARGETS; i++) {
            unread.add(new ArrayList<>());
        }
        for (int i = 0; i < count; i++) {
            entries.add(new SimulatedEntry(now + i * startIntervalMillis));
        }
    }

    /** Advances the clock, with or without client requests. */
    void run(long millis, boolean callers) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            controls.replicate();
            entries.forEach(SimulatedEntry::step);
            readUnread();
            if (callers) {
                sendRequests(BUSY, requestsPerSecond * 0.9);
                sendRequests(IDLE, requestsPerSecond * 0.1 * idleLoadFactor);
            }
        }
    }

    /** Stops some targets, which read later what is sent to them meanwhile. */
    void stopTargets(int count, long millis) {
        Arrays.fill(stoppedUntil, 0, count, now + millis);
    }

    /** Ends the last targets, which refuse connections until they start again. */
    void endTargets(int count, long millis) {
        for (int i = TARGETS - count; i < TARGETS; i++) {
            endedUntil[i] = now + millis;
            unread.get(i).forEach(a -> a.arrival().confirm());
            unread.get(i).clear();
        }
    }

    /** Lets the targets that have continued read what was sent to them, and close the connections. */
    private void readUnread() {
        for (int i = 0; i < TARGETS; i++) {
            if (now >= stoppedUntil[i]) {
                unread.get(i).forEach(UnreadAttempt::read);
                unread.get(i).clear();
            }
        }
    }

    /** Multiplies the load of the idle service. */
    void setIdleLoadFactor(double times) {
        idleLoadFactor = times;
    }

    /** Shifts most of the load to a few entries. */
    void shiftCallers() {
        entries.forEach(e -> e.weight = random.nextInt(4) == 0 ? 6 : 1);
    }

    /** Restarts a fraction of the entries, which lose their state. */
    void restart(double fraction) {
        for (SimulatedEntry e : entries) {
            if (random.nextDouble() < fraction) {
                e.start();
            }
        }
    }

    /** Lets another control instance lead, which knows no leases. */
    void changeLeader() {
        controls.changeLeader();
    }

    void restartControl() {
        controls.restart();
    }

    void join(int count) {
        for (int i = 0; i < count; i++) {
            SimulatedEntry e = new SimulatedEntry(now);
            e.start();
            entries.add(e);
        }
    }

    void leave(int count) {
        for (int i = 0; i < count && entries.size() > 1; i++) {
            entries.remove(random.nextInt(entries.size()));
        }
    }

    /** Partitions one failure domain, with its control instance, from the others. */
    void setPartitioned(boolean on) {
        controls.setPartitioned(on);
    }

    /** Fails if the retries of a service exceed the bound in any window. */
    void assertWithinTheBound(String event) {
        for (String service : new String[] {BUSY, IDLE}) {
            double worst = worstWindowUse(service);
            Assertions.assertTrue(worst <= 1, event + ", " + service + ": " + worst);
        }
    }

    /** Returns the highest ratio of sent to allowed retries over all windows. */
    double worstWindowUse(String service) {
        TreeMap<Long, Integer> sent = retries.getOrDefault(service, new TreeMap<>());
        double worst = 0;
        for (long from : sent.keySet()) {
            long counted = sum(sent, from, from + WINDOW);
            worst = Math.max(worst, counted / allowed(service, from));
        }
        return worst;
    }

    /** Returns the ratio of sent to allowed retries over consecutive windows. */
    double averageUse(String service) {
        TreeMap<Long, Integer> sent = retries.getOrDefault(service, new TreeMap<>());
        double allowed = 0;
        long counted = 0;
        for (long from = requests.get(service).firstKey(); from + WINDOW <= now; from += WINDOW) {
            allowed += allowed(service, from);
            counted += sum(sent, from, from + WINDOW);
        }
        return counted / allowed;
    }

    private double allowed(String service, long from) {
        TreeMap<Long, Integer> received = requests.get(service);
        long inWindow = sum(received, from, from + WINDOW);
        long inPreviousWindow = sum(received, from - WINDOW, from);
        long inOverlap = sum(received, from - WINDOW / 2, from + WINDOW / 2);
        return RATIO * Math.max(inWindow, Math.max(inPreviousWindow, inOverlap)) + EXTRA;
    }

    private static long sum(TreeMap<Long, Integer> counts, long from, long to) {
        return counts.subMap(from, true, to, true).values().stream()
                .mapToLong(Integer::longValue)
                .sum();
    }

    private void sendRequests(String service, double perSecond) {
        double expected = perSecond * STEP_MILLIS / 1_000;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            SimulatedEntry e = pickEntry();
            requests.computeIfAbsent(service, s -> new TreeMap<>()).merge(now, 1, Integer::sum);
            e.budget.recordRequest(service);
            e.serve(new SimulatedRequest(service));
        }
    }

    private SimulatedEntry pickEntry() {
        List<SimulatedEntry> started =
                entries.stream().filter(e -> e.budget != null).toList();
        int sum = started.stream().mapToInt(e -> e.weight).sum();
        int point = random.nextInt(sum);
        for (SimulatedEntry e : started) {
            point -= e.weight;
            if (point < 0) {
                return e;
            }
        }
        throw new IllegalStateException("no entry");
    }

    private final class SimulatedEntry {

        private final InstanceId id = new InstanceId("entry-" + nextId++);
        private final int controlDomain = nextId % SimulatedControls.COUNT;
        private final long startAt;
        private RetryBudget budget;
        private String process;
        private Map<String, Integer> reported;
        private RetryLeaseReport leases;
        private long nextReportAt;
        private TargetState[] states;
        private int weight = 1;

        SimulatedEntry(long startAt) {
            this.startAt = startAt;
        }

        /** Starts the entry, which has no state. */
        private void start() {
            budget = new RetryBudget(RATIO, EXTRA, WINDOW, () -> now);
            process = id + " " + now;
            nextReportAt = now;
            states =
                    IntStream.range(0, TARGETS).mapToObj(i -> new TargetState()).toArray(TargetState[]::new);
        }

        void step() {
            if (budget == null && now >= startAt) {
                start();
            }
            if (budget != null) {
                poll();
            }
        }

        private void poll() {
            if (now >= nextReportAt) {
                budget.tick();
                reported = budget.openRetries();
                leases = budget.reportLeases();
                nextReportAt = now + REPORT_INTERVAL_MILLIS;
            }
            for (int c = 0; c < SimulatedControls.COUNT; c++) {
                if (controls.isCutOff(c) == controls.isCutOff(controlDomain)) {
                    controls.poll(c, id, process, reported, leases, budget);
                }
            }
        }

        /** Sends a request to targets until one accepts it or no retry is left. */
        void serve(SimulatedRequest request) {
            int sent = 0;
            boolean reached;
            do {
                sent++;
                reached = send(request, choose());
            } while (sent <= RETRIES_PER_REQUEST && (!reached || request.tryRetry(budget)));
            request.arrivals.settle();
        }

        /** Sends an attempt; returns whether a target has accepted the connection. */
        private boolean send(SimulatedRequest request, int target) {
            ArrivalTracker.Arrival arrival = request.arrivals.recordSend();
            if (endedUntil[target] > now) {
                arrival.withdraw();
                states[target].recordFailure(now);
                return false;
            }
            if (stoppedUntil[target] > now) {
                unread.get(target).add(new UnreadAttempt(request, arrival));
                states[target].recordStall(now);
            } else {
                request.arrive();
                arrival.confirm();
            }
            return true;
        }

        /** Returns a target that is not ejected, if there is one. */
        private int choose() {
            int target = targetRandom.nextInt(TARGETS);
            for (int i = 0; i < TARGETS && states[target].isEjected(now); i++) {
                target = (target + 1) % TARGETS;
            }
            return target;
        }
    }

    /** An attempt that a stopped target has not read. */
    private record UnreadAttempt(SimulatedRequest request, ArrivalTracker.Arrival arrival) {

        void read() {
            request.arrive();
            arrival.confirm();
        }
    }

    /** A request of a client. Its first arrival at any target is not a retry. */
    private final class SimulatedRequest {

        private final String service;
        private final ArrivalTracker arrivals = new ArrivalTracker(() -> now);
        private boolean arrived;

        SimulatedRequest(String service) {
            this.service = service;
        }

        boolean tryRetry(RetryBudget budget) {
            RetryCharge charge = budget.tryRetry(service);
            if (charge != null) {
                arrivals.add(charge);
            }
            return charge != null;
        }

        void arrive() {
            if (arrived) {
                retries.computeIfAbsent(service, s -> new TreeMap<>()).merge(now, 1, Integer::sum);
            }
            arrived = true;
        }
    }
}
