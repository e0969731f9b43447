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
import org.hallwall.core.time.Ticker;

/** Sums what entries report of their requests in progress, by target. */
final class LoadLedger {

    /** How long a report counts, in milliseconds: a few times the longest pause between two of an entry. */
    private static final long REPORT_MILLIS = 1_500;

    private final Ticker ticker;
    private final Map<InstanceId, Report> reports = new HashMap<>();

    LoadLedger(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Takes a report.
     *
     * @param entry who reports
     * @param running its requests in progress by target
     * @return those of all entries, this one included
     */
    synchronized Map<String, Integer> take(InstanceId entry, Map<String, Integer> running) {
        long now = ticker.millis();
        reports.put(entry, new Report(now, running == null ? Map.of() : running));
        reports.values().removeIf(r -> now - r.at() > REPORT_MILLIS);
        Map<String, Integer> out = new HashMap<>();
        for (Report r : reports.values()) {
            r.running().forEach((target, n) -> out.merge(target, n, Integer::sum));
        }
        return out;
    }

    private record Report(long at, Map<String, Integer> running) {}
}
