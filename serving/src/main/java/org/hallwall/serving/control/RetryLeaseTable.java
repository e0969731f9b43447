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
package org.hallwall.serving.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.target.RetryLeaseGrant;
import org.hallwall.serving.target.RetryLeaseReport;

/**
 * Leases the retries that the fixed part of the budget allows to each service, at the leader. Kept in memory only: a leader learns the leases
 * of earlier ones from the reports of the entries. An entry that has not reported to it in its term may hold a lease of every service, and
 * accepts none of an earlier leader once it has.
 */
public final class RetryLeaseTable {

    private final Map<InstanceId, Holder> holders = new HashMap<>();
    /** The services of which the last requested lease was not free. */
    private final Set<String> scarce = new HashSet<>();

    private long term;

    /**
     * Processes a report.
     *
     * @param leaderTerm the term of this leader
     * @param entryCount the number of entries that may hold leases; zero if unknown
     * @param isCounted whether an entry is among them
     * @param entry the entry
     * @param process the id of its process
     * @param report its report
     * @return the answer
     */
    public synchronized RetryLeaseGrant update(
            long leaderTerm,
            int entryCount,
            Predicate<InstanceId> isCounted,
            InstanceId entry,
            String process,
            RetryLeaseReport report) {
        if (leaderTerm != term) {
            term = leaderTerm;
            holders.clear();
            scarce.clear();
        }
        Holder holder = holders.computeIfAbsent(entry, e -> new Holder());
        boolean isCurrent = holder.recordProcess(process) && report.term() == term && holder.record(report);
        if (!isCurrent) {
            return new RetryLeaseGrant(term, report.number(), List.of(), List.of());
        }
        List<String> granted = new ArrayList<>();
        for (String service : report.wanted()) {
            if (holder.holds(service)) {
                continue;
            }
            if (hasFreeLease(service, report.limit(), entryCount, isCounted)) {
                holder.grants.put(service, report.number());
                granted.add(service);
                scarce.remove(service);
            } else {
                scarce.add(service);
            }
        }
        List<String> waitedFor = report.held().stream().filter(scarce::contains).toList();
        return new RetryLeaseGrant(term, report.number(), granted, waitedFor);
    }

    private boolean hasFreeLease(String service, int limit, int entryCount, Predicate<InstanceId> isCounted) {
        int used = 0;
        int unknown = entryCount;
        for (Map.Entry<InstanceId, Holder> e : holders.entrySet()) {
            Holder holder = e.getValue();
            if (holder.hasReported() && isCounted.test(e.getKey())) {
                unknown--;
                used += holder.holds(service) ? 1 : 0;
            }
        }
        return entryCount > 0 && used + Math.max(0, unknown) < limit;
    }

    /** The leases of one entry. */
    private static final class Holder {

        /** The report that was answered with each lease, by service; zero if the entry held it before. */
        private final Map<String, Long> grants = new HashMap<>();

        private final Set<String> earlierProcesses = new HashSet<>();
        private String process;
        private long lastReport;

        /** Records the process of the entry; returns false if it is an earlier one, whose report is late. */
        boolean recordProcess(String from) {
            if (earlierProcesses.contains(from)) {
                return false;
            }
            if (!from.equals(process)) {
                if (process != null) {
                    earlierProcesses.add(process);
                }
                process = from;
                lastReport = 0;
                grants.clear();
            }
            return true;
        }

        boolean hasReported() {
            return lastReport > 0;
        }

        /** Records what the entry holds; returns false if a later report is known. */
        boolean record(RetryLeaseReport report) {
            if (report.number() <= lastReport) {
                return false;
            }
            lastReport = report.number();
            grants.entrySet()
                    .removeIf(g ->
                            g.getValue() <= report.applied() && !report.held().contains(g.getKey()));
            report.held().forEach(service -> grants.putIfAbsent(service, 0L));
            return true;
        }

        boolean holds(String service) {
            return grants.containsKey(service);
        }
    }
}
