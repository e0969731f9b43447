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

/** Sums the requests in progress that entries report, by target. */
final class LoadSummary {

    /** The expiry of a report, in milliseconds: several times the longest report interval. */
    private static final long EXPIRY_MILLIS = 1_500;

    private final Ticker ticker;
    private final Map<InstanceId, Report> reports = new HashMap<>();

    LoadSummary(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Records a report.
     *
     * @param entry the reporting entry
     * @param running its requests in progress by target
     * @return the sums over all entries, including this one
     */
    synchronized Map<String, Integer> update(InstanceId entry, Map<String, Integer> running) {
        long now = ticker.millis();
        reports.put(entry, new Report(now, running == null ? Map.of() : running));
        reports.values().removeIf(r -> now - r.receivedAt() > EXPIRY_MILLIS);
        Map<String, Integer> out = new HashMap<>();
        for (Report r : reports.values()) {
            r.running().forEach((target, n) -> out.merge(target, n, Integer::sum));
        }
        return out;
    }

    private record Report(long receivedAt, Map<String, Integer> running) {}
}
