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
import org.hallwall.serving.relay.RetryBudget;

/**
 * Keeps the retries of each entry that may still arrive at targets, as the entry last reported them, so that an entry that has restarted
 * learns what its earlier process has left. Kept in memory only.
 */
public final class OpenRetryReports {

    private final Ticker ticker;
    private final long startedAt;
    /** The last report of each entry, oldest first. */
    private final Map<InstanceId, Report> reports = new LinkedHashMap<>();

    private boolean firstStart;

    /**
     * Creates the reports without entries.
     *
     * @param ticker the clock
     */
    public OpenRetryReports(Ticker ticker) {
        this.ticker = ticker;
        this.startedAt = ticker.millis();
    }

    /** Records that the whole system starts for the first time, so that no entry has an earlier process. */
    public synchronized void recordFirstStart() {
        firstStart = true;
    }

    /**
     * Records the report of an entry.
     *
     * @param entry the entry
     * @param process the id of its process
     * @param open its open retries by service, including those that it has inherited
     */
    public synchronized void record(InstanceId entry, String process, Map<String, Integer> open) {
        long now = ticker.millis();
        removeExpired(now);
        Report last = reports.remove(entry);
        Map<String, Integer> inherited;
        if (last == null) {
            inherited = null;
        } else if (last.process.equals(process)) {
            inherited = last.inherited;
        } else {
            inherited = last.leftBehind();
        }
        reports.put(entry, new Report(process, open, inherited, now));
    }

    private void removeExpired(long now) {
        Iterator<Report> oldest = reports.values().iterator();
        while (oldest.hasNext() && now - oldest.next().receivedAt > RetryBudget.MAX_ARRIVAL_DELAY_MILLIS) {
            oldest.remove();
        }
    }

    /**
     * Returns the retries that an entry has inherited from its earlier process.
     *
     * @param entry the entry, which has reported
     * @return the number by service; null if unknown
     */
    public synchronized Map<String, Integer> inheritedBy(InstanceId entry) {
        Report last = reports.get(entry);
        if (last != null && last.inherited != null) {
            return last.inherited;
        }
        boolean complete = firstStart || ticker.millis() - startedAt >= RetryBudget.UNKNOWN_PROCESS_MILLIS;
        return complete ? Map.of() : null;
    }

    /**
     * The last report of an entry.
     *
     * @param process the id of its process
     * @param open its open retries by service
     * @param inherited those that its earlier process had reported last; null if none is known
     * @param receivedAt when it was received, in milliseconds
     */
    private record Report(String process, Map<String, Integer> open, Map<String, Integer> inherited, long receivedAt) {

        /** Returns what the process has left. It may have ended before it reported what it had inherited. */
        Map<String, Integer> leftBehind() {
            Map<String, Integer> out = new HashMap<>(open);
            if (inherited != null) {
                inherited.forEach((service, count) -> out.merge(service, count, Math::max));
            }
            return out;
        }
    }
}
