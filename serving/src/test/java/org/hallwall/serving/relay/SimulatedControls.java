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

import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.control.EntryCountRecord;
import org.hallwall.serving.control.EntryReports;
import org.hallwall.serving.control.OpenRetryReports;
import org.hallwall.serving.control.RetryLeaseTable;
import org.hallwall.serving.target.RetryLeaseReport;

/** Simulates three control instances that count entries, and their log, to which only a side of a partition with a quorum can write. */
final class SimulatedControls {

    static final int COUNT = 3;

    private final Ticker ticker;
    private final Instance[] instances = new Instance[COUNT];
    private int committed;
    private boolean partitioned;
    private int leader = 1;
    private long term = 1;

    SimulatedControls(Ticker ticker) {
        this.ticker = ticker;
        restart();
        for (Instance i : instances) {
            i.openRetries.recordFirstStart();
        }
    }

    /** Restarts all instances, which keep the log. */
    void restart() {
        for (int i = 0; i < COUNT; i++) {
            instances[i] = new Instance();
        }
    }

    /** Makes the other instance outside the small side of a partition the leader. */
    void changeLeader() {
        leader = COUNT - leader;
        term++;
    }

    /** Partitions the first instance from the others. */
    void setPartitioned(boolean on) {
        partitioned = on;
    }

    /** Returns whether an instance is on the smaller side of a partition. */
    boolean isCutOff(int instance) {
        return partitioned && instance == 0;
    }

    /** Replicates the log to all instances in reach of the leader. */
    void replicate() {
        if (instances[leader].reports.isRecordOutdated()) {
            committed = instances[leader].reports.observedCount();
        }
        for (int i = 0; i < COUNT; i++) {
            if (!isCutOff(i)) {
                instances[i].record.apply(committed);
            }
        }
    }

    /** Records a poll, and passes the answer on to the budget of the entry. */
    void poll(
            int instance,
            InstanceId entry,
            String process,
            Map<String, Integer> openRetries,
            RetryLeaseReport leases,
            RetryBudget budget) {
        Instance c = instances[instance];
        c.reports.recordPoll(entry, Map.of());
        c.openRetries.record(entry, process, openRetries);
        budget.recordEntryCount(c.reports.sharingCount(!isCutOff(instance)));
        budget.recordInherited(c.openRetries.inheritedBy(entry));
        if (instance == leader && leases != null) {
            int count = c.reports.isRecordOutdated() ? 0 : c.reports.sharingCount(true);
            budget.recordLeases(c.leases.update(term, count, c.reports::hasPolled, entry, process, leases));
        }
    }

    private final class Instance {

        private final EntryCountRecord record = new EntryCountRecord();
        private final EntryReports reports = new EntryReports(record, ticker);
        private final OpenRetryReports openRetries = new OpenRetryReports(ticker);
        private final RetryLeaseTable leases = new RetryLeaseTable();
    }
}
