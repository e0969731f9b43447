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
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.FeedMessage.AvailableEntry;
import org.hallwall.serving.target.FeedMessage.EntryStatus;
import org.jboss.logging.Logger;

/** The status of entries as they report it: which of them reach targets and accept requests from others. Thread-safe. */
public final class EntryDirectory {

    private static final Logger LOG = Logger.getLogger(EntryDirectory.class);

    /** The expiry of a report, in milliseconds: two report intervals and a timeout. */
    private static final long EXPIRY_MILLIS = 5_000;

    /** Maximum length of an answer; bounds its size and lets several entries share the load of one that is partitioned. */
    private static final int MAX_ENTRIES = 8;

    private final Random random;
    private final Ticker ticker;
    private final Map<InstanceId, Report> reports = new HashMap<>();

    /**
     * Creates an empty directory.
     *
     * @param random selects entries
     * @param ticker the clock
     */
    public EntryDirectory(Random random, Ticker ticker) {
        this.random = random;
        this.ticker = ticker;
    }

    /**
     * Records the status of an entry.
     *
     * @param entry the entry
     * @param status its status
     * @return other available entries if it has requested them: those of its failure domain first, in random order
     */
    public synchronized List<AvailableEntry> update(InstanceId entry, EntryStatus status) {
        long now = ticker.millis();
        Report previous = reports.get(entry);
        boolean changed = previous != null && previous.status().available() != status.available();
        reports.put(entry, new Report(status, now, previous == null || changed ? now : previous.since()));
        reports.values().removeIf(r -> now - r.receivedAt() > EXPIRY_MILLIS);
        if (changed) {
            logChange(entry, status, now - previous.since());
        }
        return status.wantsEntries() ? select(entry, status.failureDomain()) : List.of();
    }

    private void logChange(InstanceId entry, EntryStatus status, long millis) {
        if (status.available()) {
            LOG.infof("entries: %s is available again after %d ms", entry, millis);
        } else {
            LOG.warnf(
                    "entries: %s is not available, it cannot connect to %d targets; %d of %d entries are available",
                    entry,
                    status.unreachableTargets(),
                    reports.values().stream()
                            .filter(r -> r.status().available())
                            .count(),
                    reports.size());
        }
    }

    private List<AvailableEntry> select(InstanceId requester, String failureDomain) {
        List<AvailableEntry> out = new ArrayList<>();
        reports.forEach((id, r) -> {
            if (!id.equals(requester) && r.status().available()) {
                out.add(new AvailableEntry(
                        id, r.status().failureDomain(), r.status().forwarding()));
            }
        });
        Collections.shuffle(out, random);
        out.sort((a, b) -> Boolean.compare(
                b.failureDomain().equals(failureDomain), a.failureDomain().equals(failureDomain)));
        return List.copyOf(out.subList(0, Math.min(MAX_ENTRIES, out.size())));
    }

    /**
     * Returns the number of entries that have reported recently, by whether they are available.
     *
     * @param available whether to count those that are available
     * @return the number of entries
     */
    public synchronized long count(boolean available) {
        long now = ticker.millis();
        return reports.values().stream()
                .filter(r -> now - r.receivedAt() <= EXPIRY_MILLIS && r.status().available() == available)
                .count();
    }

    /**
     * Describes the entries that are not available, for the state dump.
     *
     * @return the time since when in milliseconds and the number of unreachable targets, by entry
     */
    public synchronized Map<String, Object> describeUnavailable() {
        long now = ticker.millis();
        Map<String, Object> out = new TreeMap<>();
        reports.forEach((id, r) -> {
            if (!r.status().available()) {
                out.put(
                        id.value(),
                        Map.of(
                                "forMillis",
                                now - r.since(),
                                "unreachableTargets",
                                r.status().unreachableTargets()));
            }
        });
        return out;
    }

    private record Report(EntryStatus status, long receivedAt, long since) {}
}
