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
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.control.RetryLeaseTable;
import org.hallwall.serving.target.RetryLeaseGrant;
import org.hallwall.serving.target.RetryLeaseReport;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against more leases than there are, while leaders change, reports and answers are lost or late, and entries restart, in random
 * sequences.
 */
class RetryLeasesTest {

    private static final int CONTROLS = 3;
    private static final int SEEDS = 150;
    private static final int STEPS = 4_000;
    private static final String SERVICE = "s";

    private final List<Entry> entries = new ArrayList<>();
    private final RetryLeaseTable[] tables = new RetryLeaseTable[CONTROLS];
    private Random random;
    private int limit;
    private int leader;
    private long term;

    @ParameterizedTest
    @CsvSource({"2, 1, 0.01", "5, 2, 0.002", "5, 4, 0.005", "12, 5, 0.002", "40, 30, 0.001"})
    void leasesNeverExceedTheLimit(int entryCount, int leases, double leaderChangeRate) {
        int granted = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            start(seed, entryCount, leases);
            for (int i = 0; i < STEPS; i++) {
                step(leaderChangeRate);
                long held = entries.stream().filter(Entry::usesLease).count();
                Assertions.assertTrue(held <= limit, "seed " + seed + ", step " + i + ": " + held);
                granted += held > 0 ? 1 : 0;
            }
        }
        Assertions.assertTrue(granted > SEEDS * STEPS / 10, "leases were held in " + granted + " steps");
    }

    /** A lease that its entry returns is granted to another one. */
    @ParameterizedTest
    @CsvSource({"2, 1", "9, 4"})
    void returnedLeasesAreGrantedAgain(int entryCount, int leases) {
        start(1, entryCount, leases);
        pollAll();
        entries.forEach(e -> e.leases.acquire(SERVICE));
        pollAll();
        Entry first = entries.stream().filter(Entry::usesLease).findFirst().orElseThrow();
        Assertions.assertEquals(
                leases, entries.stream().filter(Entry::usesLease).count());
        first.leases.release(SERVICE);
        pollAll();
        pollAll();
        Assertions.assertEquals(
                leases, entries.stream().filter(Entry::usesLease).count());
        Assertions.assertFalse(first.usesLease());
    }

    /** An entry that has not reported may hold a lease of an earlier leader. */
    @ParameterizedTest
    @CsvSource({"3, 1", "2, 0"})
    void entriesThatHaveNotReportedCountAsHolders(int leases, int expected) {
        start(1, 3, leases);
        Entry entry = entries.get(0);
        entry.leases.acquire(SERVICE);
        entry.poll();
        entry.poll();
        Assertions.assertEquals(expected, entry.usesLease() ? 1 : 0);
    }

    private void start(long seed, int entryCount, int leases) {
        random = new Random(seed);
        limit = leases;
        leader = 0;
        term = 1;
        entries.clear();
        for (int i = 0; i < CONTROLS; i++) {
            tables[i] = new RetryLeaseTable();
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(new InstanceId("e-" + i)));
        }
    }

    private void pollAll() {
        entries.forEach(Entry::poll);
    }

    private void step(double leaderChangeRate) {
        if (random.nextDouble() < leaderChangeRate) {
            leader = random.nextInt(CONTROLS);
            term++;
            if (random.nextBoolean()) {
                tables[leader] = new RetryLeaseTable();
            }
        }
        entries.get(random.nextInt(entries.size())).step();
    }

    /** An entry with the reports and answers that are under way. */
    private final class Entry {

        private final InstanceId id;
        /** Reports under way; those of polls that were given up may still be processed. */
        private final List<Runnable> reports = new ArrayList<>();
        /** Answers under way, which arrive in any order. */
        private final List<RetryLeaseGrant> answers = new ArrayList<>();

        private RetryLeases leases = new RetryLeases(() -> 0);
        private String process = "p-0";
        private boolean heldByEarlierProcess;
        private int starts;

        Entry(InstanceId id) {
            this.id = id;
        }

        boolean usesLease() {
            return leases.isHeld(SERVICE) || heldByEarlierProcess;
        }

        /** Sends a report to the leader, and applies its answer. */
        void poll() {
            send();
            reports.remove(reports.size() - 1).run();
            apply();
        }

        void step() {
            double choice = random.nextDouble();
            if (choice < 0.005) {
                restart();
            } else if (choice < 0.05) {
                leases.release(SERVICE);
            } else if (choice < 0.15) {
                leases.acquire(SERVICE);
            } else if (choice < 0.17) {
                answers.clear();
            } else {
                exchange();
            }
        }

        private void exchange() {
            int choice = random.nextInt(3);
            if (choice == 0) {
                send();
            } else if (choice == 1 && !reports.isEmpty()) {
                reports.remove(random.nextInt(reports.size())).run();
            } else {
                apply();
            }
        }

        private void restart() {
            heldByEarlierProcess = usesLease();
            starts++;
            process = "p-" + starts;
            leases = new RetryLeases(() -> 0);
            answers.clear();
        }

        private void send() {
            // the earlier process is taken into account before the first report
            heldByEarlierProcess = false;
            RetryLeaseReport report = leases.createReport(limit, Set.of());
            String sender = process;
            reports.add(() -> process(sender, report));
        }

        private void process(String sender, RetryLeaseReport report) {
            RetryLeaseGrant answer = tables[leader].update(term, entries.size(), e -> true, id, sender, report);
            if (sender.equals(process)) {
                answers.add(answer);
            }
        }

        private void apply() {
            if (!answers.isEmpty()) {
                leases.apply(answers.remove(random.nextInt(answers.size())));
            }
        }
    }
}
