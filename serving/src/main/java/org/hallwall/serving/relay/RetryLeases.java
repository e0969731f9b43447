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

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.RetryLeaseGrant;
import org.hallwall.serving.target.RetryLeaseReport;

/**
 * The leases of one entry. A lease is on one retry of a service, open or in a window, for which no request has paid. Leases are needed where
 * the fixed part of the budget is smaller than the number of entries. A lease lasts until the entry returns it. Grants of a leader are
 * ignored once a later one is known, which has not counted them.
 */
final class RetryLeases {

    /** Time after which an entry gives a lease back, and requests the next one when it needs it, in milliseconds. */
    private static final long MAX_MILLIS = 10_000;
    /** The same while other entries wait for a lease: several retries long, so that leases change hands without much idle time. */
    private static final long SCARCE_MILLIS = 1_000;

    private final Ticker ticker;
    /** When each lease was received, by service. */
    private final Map<String, Long> held = new HashMap<>();

    private final TreeSet<String> wanted = new TreeSet<>();
    private final Set<String> scarce = new HashSet<>();
    private long term;
    private long lastReport;
    private long appliedReport;

    RetryLeases(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns whether the entry holds a lease; requests one if not. */
    synchronized boolean acquire(String service) {
        boolean isHeld = held.containsKey(service);
        if (!isHeld) {
            wanted.add(service);
        }
        return isHeld;
    }

    synchronized boolean isHeld(String service) {
        return held.containsKey(service);
    }

    /** Returns whether the entry holds a lease that has not expired. */
    synchronized boolean isValid(String service) {
        return held.containsKey(service) && !isExpired(service);
    }

    /** Returns the services whose lease is to be given back when it is no longer used. */
    synchronized List<String> expired() {
        return held.keySet().stream().filter(this::isExpired).toList();
    }

    private boolean isExpired(String service) {
        long age = ticker.millis() - held.get(service);
        return age >= (scarce.contains(service) ? SCARCE_MILLIS : MAX_MILLIS);
    }

    /** Gives a lease back. No retry may still arrive, and requests have paid for all others. */
    synchronized void release(String service) {
        held.remove(service);
    }

    /**
     * Creates the next report.
     *
     * @param limit the number of leases of each service
     * @param open the services with retries that may still arrive
     * @return the report
     */
    synchronized RetryLeaseReport createReport(int limit, Collection<String> open) {
        TreeSet<String> used = new TreeSet<>(held.keySet());
        used.addAll(open);
        lastReport++;
        return new RetryLeaseReport(
                term, lastReport, appliedReport, limit, new ArrayList<>(used), new ArrayList<>(wanted));
    }

    /** Applies the answer to a report, unless that of a later report or term was applied before. */
    synchronized void apply(RetryLeaseGrant grant) {
        if (grant.report() <= appliedReport) {
            return;
        }
        appliedReport = grant.report();
        if (grant.term() < term) {
            return;
        }
        term = grant.term();
        scarce.clear();
        scarce.addAll(grant.scarce());
        for (String service : grant.services()) {
            held.putIfAbsent(service, ticker.millis());
            wanted.remove(service);
        }
    }
}
