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
import org.hallwall.core.time.RecentPeak;
import org.hallwall.core.time.Ticker;

/** What entries tell one control instance with their polls: that they are there, and their streams in progress. */
public final class EntryReports {

    /** How long an entry counts after its last poll, in milliseconds: several polls. */
    private static final long ENTRY_MILLIS = 3_000;

    /**
     * How long the highest count is remembered, in milliseconds: longer than a failure domain usually stays cut off. Meanwhile either
     * side counts the other, and entries that have left for good leave a part of what is shared unused.
     */
    private static final long PEAK_MILLIS = 3_600_000;

    private final Ticker ticker;
    private final long knowsFrom;
    private final RecentPeak peak;
    private final Map<InstanceId, Report> reports = new HashMap<>();

    /**
     * Creates it; no entry is known.
     *
     * @param firstStart whether the whole system starts for the first time, so that no entry serves that has not polled yet
     * @param ticker the clock
     */
    public EntryReports(boolean firstStart, Ticker ticker) {
        this.ticker = ticker;
        this.knowsFrom = ticker.millis() + (firstStart ? 0 : ENTRY_MILLIS);
        this.peak = new RecentPeak(PEAK_MILLIS, ticker);
    }

    /**
     * Notes a poll.
     *
     * @param entry who polls
     * @param streams its streams in progress by model
     */
    public synchronized void take(InstanceId entry, Map<String, Integer> streams) {
        reports.put(entry, new Report(ticker.millis(), streams == null ? Map.of() : streams));
        peak.note(count());
    }

    /**
     * Counts the entries that have polled lately.
     *
     * @return how many
     */
    public synchronized int count() {
        forget();
        return reports.size();
    }

    /**
     * Tells by how many entries at most a bound of the whole system is shared.
     *
     * @return the highest count lately; zero as long as not every entry has had the time to poll since the start
     */
    public synchronized int most() {
        return ticker.millis() < knowsFrom ? 0 : peak.highest();
    }

    /** Sums the streams in progress of all entries by model. */
    synchronized Map<String, Integer> streams() {
        forget();
        Map<String, Integer> out = new HashMap<>();
        for (Report r : reports.values()) {
            r.streams().forEach((model, n) -> out.merge(model, n, Integer::sum));
        }
        return out;
    }

    private void forget() {
        long now = ticker.millis();
        reports.values().removeIf(r -> now - r.at() > ENTRY_MILLIS);
    }

    private record Report(long at, Map<String, Integer> streams) {}
}
