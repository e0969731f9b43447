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

/** The latest reports of entries and domain controllers; kept in memory only. */
public final class StatusBoard {

    private static final long FORGET_MILLIS = 600_000;

    private final Ticker ticker;
    private final long startedAt;
    private final Map<InstanceId, Heard<EntryReport>> entries = new ConcurrentHashMap<>();
    private final Map<FailureDomainId, Heard<DomainReport>> domains = new ConcurrentHashMap<>();

    /**
     * Creates the board.
     *
     * @param ticker the clock
     */
    public StatusBoard(Ticker ticker) {
        this.ticker = ticker;
        this.startedAt = ticker.millis();
    }

    /**
     * Says how long this board has listened.
     *
     * @return milliseconds since it was made
     */
    public long listeningMillis() {
        return ticker.millis() - startedAt;
    }

    /**
     * Takes the report of an entry.
     *
     * @param report the report
     */
    public void take(EntryReport report) {
        entries.put(report.entry(), new Heard<>(report, ticker.millis()));
    }

    /**
     * Takes the report of a domain controller; one of an older lease term is dropped.
     *
     * @param report the report
     */
    public void take(DomainReport report) {
        domains.merge(report.domain(), new Heard<>(report, ticker.millis()), StatusBoard::newer);
    }

    /**
     * Lists the entries that were heard in the last ten minutes.
     *
     * @return the reports with their age
     */
    public List<Aged<EntryReport>> entries() {
        return aged(entries);
    }

    /**
     * Lists the failure domains that were heard in the last ten minutes.
     *
     * @return the reports with their age
     */
    public List<Aged<DomainReport>> domains() {
        return aged(domains);
    }

    private static Heard<DomainReport> newer(Heard<DomainReport> old, Heard<DomainReport> fresh) {
        return fresh.report.term() >= old.report.term() || fresh.at - old.at > FORGET_MILLIS ? fresh : old;
    }

    private <K extends Comparable<K>, R> List<Aged<R>> aged(Map<K, Heard<R>> heard) {
        long now = ticker.millis();
        heard.values().removeIf(h -> now - h.at > FORGET_MILLIS);
        List<Aged<R>> out = new ArrayList<>();
        for (Heard<R> h : new TreeMap<>(heard).values()) {
            out.add(new Aged<>(h.report, now - h.at));
        }
        return out;
    }

    /**
     * A report with its age.
     *
     * @param report the report
     * @param ageMillis how long ago it was heard
     * @param <R> the type of the report
     */
    public record Aged<R>(R report, long ageMillis) {}

    private record Heard<R>(R report, long at) {}
}
