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
package org.hallwall.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.resource.ResourceMessage.DomainReport;
import org.hallwall.resource.ResourceMessage.EntryReport;

/** Holds the latest reports of entries and domain controllers in memory. */
public final class ReportRegistry {

    private static final long RETENTION_MILLIS = 600_000;

    private final Ticker ticker;
    private final long startedAt;
    private final Map<InstanceId, ReceivedReport<EntryReport>> entries = new ConcurrentHashMap<>();
    private final Map<FailureDomainId, ReceivedReport<DomainReport>> domains = new ConcurrentHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param ticker the monotonic clock
     */
    public ReportRegistry(Ticker ticker) {
        this.ticker = ticker;
        this.startedAt = ticker.millis();
    }

    /**
     * Returns the time since this registry was created.
     *
     * @return the time in milliseconds
     */
    public long uptimeMillis() {
        return ticker.millis() - startedAt;
    }

    /**
     * Stores the report of an entry.
     *
     * @param report the report
     */
    public void update(EntryReport report) {
        entries.put(report.entry(), new ReceivedReport<>(report, ticker.millis()));
    }

    /**
     * Stores the report of a domain controller. A report of an older lease term is ignored.
     *
     * @param report the report
     */
    public void update(DomainReport report) {
        domains.merge(report.domain(), new ReceivedReport<>(report, ticker.millis()), ReportRegistry::newer);
    }

    /**
     * Returns the reports of entries received in the last ten minutes.
     *
     * @return the reports with their age
     */
    public List<AgedReport<EntryReport>> entries() {
        return aged(entries);
    }

    /**
     * Returns the reports of failure domains received in the last ten minutes.
     *
     * @return the reports with their age
     */
    public List<AgedReport<DomainReport>> domains() {
        return aged(domains);
    }

    private static ReceivedReport<DomainReport> newer(
            ReceivedReport<DomainReport> old, ReceivedReport<DomainReport> received) {
        return received.report.term() >= old.report.term() || received.receivedAt - old.receivedAt > RETENTION_MILLIS
                ? received
                : old;
    }

    private <K extends Comparable<K>, R> List<AgedReport<R>> aged(Map<K, ReceivedReport<R>> reports) {
        long now = ticker.millis();
        reports.values().removeIf(r -> now - r.receivedAt > RETENTION_MILLIS);
        List<AgedReport<R>> out = new ArrayList<>();
        for (ReceivedReport<R> r : new TreeMap<>(reports).values()) {
            out.add(new AgedReport<>(r.report, now - r.receivedAt));
        }
        return out;
    }

    /**
     * A report with its age.
     *
     * @param report the report
     * @param ageMillis the time since it was received
     * @param <R> the type of the report
     */
    public record AgedReport<R>(R report, long ageMillis) {}

    private record ReceivedReport<R>(R report, long receivedAt) {}
}
