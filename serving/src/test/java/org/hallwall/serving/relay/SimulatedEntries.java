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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.control.EntryReports;

/**
 * Entries with retry budgets on a virtual clock: callers come unevenly, every request of a service in trouble asks for retries as
 * long as it gets them, and entries and control instances come, go, start again and are cut off.
 */
final class SimulatedEntries {

    static final double RATIO = 0.2;
    static final double EXTRA = 134;
    static final long WINDOW = 10_000;
    static final String BUSY = "busy";
    static final String IDLE = "idle";

    private static final long STEP_MILLIS = 100;
    private static final int CONTROLS = 3;
    private static final int RETRIES_WANTED = 4;

    private final Random random;
    private final double requestsASecond;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final EntryReports[] controls = new EntryReports[CONTROLS];
    private final boolean[] cutOff = new boolean[CONTROLS];
    private final Map<String, TreeMap<Long, Integer>> requests = new HashMap<>();
    private final Map<String, TreeMap<Long, Integer>> retries = new HashMap<>();
    private long now = 1_000_000;
    private double idleCrowd = 1;
    private int named;

    SimulatedEntries(int count, double requestsASecond, long seed) {
        this.random = new Random(seed);
        this.requestsASecond = requestsASecond;
        for (int i = 0; i < CONTROLS; i++) {
            controls[i] = new EntryReports(true, () -> now);
        }
        for (int i = 0; i < count; i++) {
            entries.add(new SimulatedEntry(true));
        }
    }

    /** Lets time pass with callers. */
    void run(long millis, boolean callers) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            entries.forEach(SimulatedEntry::poll);
            if (callers) {
                arrive(BUSY, requestsASecond * 0.9);
                arrive(IDLE, requestsASecond * 0.1 * idleCrowd);
            }
        }
    }

    /** So many times as many callers of the idle service come. */
    void crowd(double times) {
        idleCrowd = times;
    }

    /** The balancer turns to other entries: a few get most of the callers. */
    void shiftCallers() {
        entries.forEach(e -> e.weight = random.nextInt(4) == 0 ? 6 : 1);
    }

    /** A part of the entries starts again and remembers nothing. */
    void restart(double part) {
        for (SimulatedEntry e : entries) {
            if (random.nextDouble() < part) {
                e.startAgain();
            }
        }
    }

    void restartControl() {
        for (int i = 0; i < CONTROLS; i++) {
            controls[i] = new EntryReports(false, () -> now);
        }
    }

    void join(int count) {
        for (int i = 0; i < count; i++) {
            entries.add(new SimulatedEntry(false));
        }
    }

    void leave(int count) {
        for (int i = 0; i < count && entries.size() > 1; i++) {
            entries.remove(random.nextInt(entries.size()));
        }
    }

    /** One failure domain with its control instance is cut off from the others. */
    void cut(boolean on) {
        cutOff[0] = on;
    }

    /** Gives the worst window's retries as a part of those that are allowed in it. */
    double worst(String service) {
        TreeMap<Long, Integer> sent = retries.getOrDefault(service, new TreeMap<>());
        double worst = 0;
        for (long from : sent.keySet()) {
            long counted = sum(sent, from, from + WINDOW);
            worst = Math.max(worst, counted / allowed(service, from));
        }
        return worst;
    }

    /** Gives the retries that were sent as a part of those that were allowed, over windows one after the other. */
    double used(String service) {
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
        TreeMap<Long, Integer> asked = requests.get(service);
        long same = sum(asked, from, from + WINDOW);
        long before = sum(asked, from - WINDOW, from);
        long between = sum(asked, from - WINDOW / 2, from + WINDOW / 2);
        return RATIO * Math.max(same, Math.max(before, between)) + EXTRA;
    }

    private static long sum(TreeMap<Long, Integer> counts, long from, long to) {
        return counts.subMap(from, true, to, true).values().stream()
                .mapToLong(Integer::longValue)
                .sum();
    }

    private void arrive(String service, double perSecond) {
        double expected = perSecond * STEP_MILLIS / 1_000;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            SimulatedEntry e = draw();
            requests.computeIfAbsent(service, s -> new TreeMap<>()).merge(now, 1, Integer::sum);
            int sent = e.serve(service);
            if (sent > 0) {
                retries.computeIfAbsent(service, s -> new TreeMap<>()).merge(now, sent, Integer::sum);
            }
        }
    }

    private SimulatedEntry draw() {
        int sum = entries.stream().mapToInt(e -> e.weight).sum();
        int at = random.nextInt(sum);
        for (SimulatedEntry e : entries) {
            at -= e.weight;
            if (at < 0) {
                return e;
            }
        }
        throw new IllegalStateException("no entry");
    }

    private final class SimulatedEntry {

        private final InstanceId id = new InstanceId("entry-" + named++);
        private final int home = named % CONTROLS;
        private RetryBudget budget;
        private int weight = 1;

        SimulatedEntry(boolean first) {
            start(first);
        }

        void startAgain() {
            start(false);
        }

        private void start(boolean first) {
            budget = new RetryBudget(RATIO, EXTRA, WINDOW, first, () -> now);
        }

        void poll() {
            for (int c = 0; c < CONTROLS; c++) {
                boolean apart = cutOff[0] && (c == 0) != (home == 0);
                if (!apart) {
                    controls[c].take(id, Map.of());
                    budget.entries(controls[c].most());
                }
            }
        }

        int serve(String service) {
            budget.request(service);
            int sent = 0;
            while (sent < RETRIES_WANTED && budget.tryRetry(service)) {
                sent++;
            }
            return sent;
        }
    }
}
