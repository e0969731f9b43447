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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;

/** Tracks the entries that poll this control instance, and their streams in progress. */
public final class EntryReports {

    /** The time after its last poll for which an entry is counted, in milliseconds: several polls. */
    private static final long EXPIRY_MILLIS = 3_000;

    /**
     * The time after its last poll for which an entry may still use its share of a limit, in milliseconds: longer than a failure domain is
     * usually partitioned. The shares of entries that have been removed stay unused meanwhile.
     */
    private static final long SHARE_RETENTION_MILLIS = 3_600_000;

    /** The time without a change after which the recorded number of entries counts as complete, in milliseconds. */
    private static final long SETTLING_MILLIS = 15_000;

    private final EntryCountRecord record;
    private final Ticker ticker;
    private final long startedAt;
    private final Map<InstanceId, Report> reports = new HashMap<>();
    /** The time of the last poll of each entry that may use a share, oldest first. */
    private final Map<InstanceId, Long> lastPolls = new LinkedHashMap<>();
    /** The last recorded number of entries while this instance followed a leader, and since when. */
    private int followedCount;

    private long followedCountSince;
    private boolean settled;

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
    }

    /**
     * Records a poll.
     *
     * @param entry the polling entry
     * @param streams its streams in progress by model
     */
    public synchronized void recordPoll(InstanceId entry, Map<String, Integer> streams) {
        reports.put(entry, new Report(ticker.millis(), streams == null ? Map.of() : streams));
        lastPolls.remove(entry);
        lastPolls.put(entry, ticker.millis());
        removeOutdatedPolls();
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
     * @param following whether this instance follows a leader now; without one, entries may join that it does not know of
     * @return the larger of the observed number and the recorded one; zero if unknown: until every entry has had time to poll after the
     *     start, and without a leader unless the recorded number had settled before
     */
    public synchronized int sharingCount(boolean following) {
        long now = ticker.millis();
        if (following && record.count() != followedCount) {
            followedCount = record.count();
            followedCountSince = now;
        }
        settled |= following && followedCount > 0 && now - followedCountSince >= SETTLING_MILLIS;
        boolean known = now - startedAt >= EXPIRY_MILLIS && (following || settled);
        return known ? Math.max(observedCount(), record.count()) : 0;
    }

    /**
     * Returns the number of entries that have polled this instance within the retention time; some of them may be partitioned from it now.
     *
     * @return the number of entries
     */
    public synchronized int observedCount() {
        removeOutdatedPolls();
        return lastPolls.size();
    }

    /**
     * Returns whether an entry has polled this instance within the retention time.
     *
     * @param entry the entry
     * @return true if it has
     */
    public synchronized boolean hasPolled(InstanceId entry) {
        return lastPolls.containsKey(entry);
    }

    /**
     * Returns whether a leader should record the observed count: it is larger than the recorded one, or has been smaller for as long as
     * entries may be out of reach.
     *
     * @return true if the record is out of date
     */
    public synchronized boolean isRecordOutdated() {
        int observed = observedCount();
        boolean complete = ticker.millis() - startedAt >= SHARE_RETENTION_MILLIS;
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

    private void removeOutdatedPolls() {
        long oldest = ticker.millis() - SHARE_RETENTION_MILLIS;
        Iterator<Long> times = lastPolls.values().iterator();
        while (times.hasNext() && times.next() < oldest) {
            times.remove();
        }
    }

    private record Report(long receivedAt, Map<String, Integer> streams) {}
}
