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

import java.util.HashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.RecentMaximum;
import org.hallwall.core.time.Ticker;

/** Tracks the entries that poll this control instance, and their streams in progress. */
public final class EntryReports {

    /** The time after its last poll for which an entry is counted, in milliseconds: several polls. */
    private static final long EXPIRY_MILLIS = 3_000;

    /**
     * The window of the peak count, in milliseconds: longer than a failure domain is usually partitioned. Within it each side of a
     * partition still counts the entries of the other side; the shares of entries that have been removed stay unused.
     */
    private static final long PEAK_WINDOW_MILLIS = 3_600_000;

    private final EntryCountRecord record;
    private final Ticker ticker;
    private final long startedAt;
    private final RecentMaximum peak;
    private final Map<InstanceId, Report> reports = new HashMap<>();

    /**
     * Creates the reports without entries.
     *
     * @param record the number of entries in the log
     * @param ticker the clock
     */
    public EntryReports(EntryCountRecord record, Ticker ticker) {
        this.record = record;
        this.ticker = ticker;
        this.startedAt = ticker.millis();
        this.peak = new RecentMaximum(PEAK_WINDOW_MILLIS, ticker);
    }

    /**
     * Records a poll.
     *
     * @param entry the polling entry
     * @param streams its streams in progress by model
     */
    public synchronized void recordPoll(InstanceId entry, Map<String, Integer> streams) {
        reports.put(entry, new Report(ticker.millis(), streams == null ? Map.of() : streams));
        peak.record(activeCount());
    }

    /**
     * Returns the number of entries that have polled recently.
     *
     * @return the number of entries
     */
    public synchronized int activeCount() {
        removeExpired();
        return reports.size();
    }

    /**
     * Returns the number of entries that may share a system-wide limit.
     *
     * @return the larger of the recent peak count and the recorded one; zero until every entry has had time to poll after the start
     */
    public synchronized int peakCount() {
        return ticker.millis() - startedAt < EXPIRY_MILLIS ? 0 : Math.max(peak.max(), record.count());
    }

    /**
     * Returns the recent peak count of the entries that poll this instance.
     *
     * @return the number of entries
     */
    public synchronized int observedCount() {
        return peak.max();
    }

    /**
     * Returns whether a leader should record the observed count: it is larger than the recorded one, or has been smaller for as long as
     * entries may be out of reach.
     *
     * @return true if the record is out of date
     */
    public synchronized boolean isRecordOutdated() {
        int observed = peak.max();
        boolean complete = ticker.millis() - startedAt >= 2 * PEAK_WINDOW_MILLIS;
        return observed > record.count() || complete && observed < record.count();
    }

    /** Returns the streams in progress of all entries, by model. */
    synchronized Map<String, Integer> streams() {
        removeExpired();
        Map<String, Integer> out = new HashMap<>();
        for (Report r : reports.values()) {
            r.streams().forEach((model, n) -> out.merge(model, n, Integer::sum));
        }
        return out;
    }

    private void removeExpired() {
        long now = ticker.millis();
        reports.values().removeIf(r -> now - r.receivedAt() > EXPIRY_MILLIS);
    }

    private record Report(long receivedAt, Map<String, Integer> streams) {}
}
