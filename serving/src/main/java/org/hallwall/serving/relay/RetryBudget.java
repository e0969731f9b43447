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

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.hallwall.core.time.RecentMaximum;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.RetryLeaseGrant;
import org.hallwall.serving.target.RetryLeaseReport;
import org.jboss.logging.Logger;

/**
 * Retry budget per service: in any window, the entries together send at most a fraction of the requests of the service
 * plus a fixed number of retries. Requests of one service do not pay for the retries of another.
 *
 * <p>Each entry spends the fraction of its own requests and an equal share of the fixed number. A retry counts until it has arrived at its
 * target, and for a window after that; requests that have paid for it may be long over by then. Hence the retries that may still arrive never
 * exceed the share of the fixed number, whatever the requests allow. Retries are acquired on the I/O thread only.
 *
 * <p>If the fixed number is smaller than the number of entries, the leader leases it to the entries that need it, one retry each.
 */
public final class RetryBudget {

    private static final Logger LOG = Logger.getLogger(RetryBudget.class);

    /**
     * Fraction of the bound that is used. The margin covers requests that are read after the end of the window in which
     * they were sent, and differing entry counts.
     */
    private static final double USABLE_FRACTION = 0.9;

    /**
     * Retention time of the highest entry count, in milliseconds. Outlasts network partitions and rolling restarts,
     * during which fewer entries are counted; the share of removed entries stays unused meanwhile.
     */
    private static final long ENTRY_PEAK_MILLIS = 3_600_000;

    /**
     * Longest time in which a stopped target is assumed to continue and read what an earlier process of an entry has sent, in milliseconds.
     * Nobody holds the connections of that process, whose end would tell.
     */
    public static final long MAX_ARRIVAL_DELAY_MILLIS = UnreadAttemptCheck.MAX_AGE_MILLIS;

    /**
     * Time after the start of a control instance or an entry for which an entry whose earlier process is unknown does not use its share, in
     * milliseconds. Shorter than the longest delay, since all programs seldom start again while targets are stopped.
     */
    public static final long UNKNOWN_PROCESS_MILLIS = 75_000;

    /** A longer time between two ticks shows that the process was stopped, in milliseconds. */
    private static final long MAX_TICK_GAP_MILLIS = 2 * UnreadAttemptCheck.INTERVAL_MILLIS;

    private final double ratio;
    private final double extra;
    private final long windowMillis;
    private final Ticker ticker;
    private final Map<String, RetryWindow> windows = new ConcurrentHashMap<>();
    private final RecentMaximum entryPeak;
    private final RetryLeases leases;
    private final Map<String, Integer> inherited = new ConcurrentHashMap<>();
    private final long startedAt;
    /** Confined to the I/O thread, like {@link #requestsCountFrom}. */
    private long lastTickAt = Long.MIN_VALUE;

    private long requestsCountFrom = Long.MIN_VALUE;
    private volatile boolean inheritedKnown;
    private volatile long extraFrom = Long.MAX_VALUE;
    private volatile boolean countConfirmed;

    /**
     * Creates a budget. Until a window has passed since the control instances count this entry, only the fraction of the requests is
     * allowed: before, other entries may have spent this share, or this entry itself before a restart.
     *
     * @param ratio retries allowed per request of a service
     * @param extra additional retries allowed per service and window, over all entries
     * @param windowMillis the window, in milliseconds
     * @param ticker the clock
     */
    public RetryBudget(double ratio, double extra, long windowMillis, Ticker ticker) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowMillis = windowMillis;
        this.ticker = ticker;
        this.entryPeak = new RecentMaximum(ENTRY_PEAK_MILLIS, ticker);
        this.leases = new RetryLeases(ticker);
        this.startedAt = ticker.millis();
    }

    /**
     * Records the number of entries that share the budget, as a control instance that counts this entry has sent it.
     *
     * @param most the highest recent number of entries; zero if unknown
     */
    public void recordEntryCount(int most) {
        if (most == 0) {
            return;
        }
        long now = ticker.millis();
        if (extraFrom == Long.MAX_VALUE) {
            extraFrom = now + windowMillis + RetryWindow.deliveryMillis(windowMillis);
        }
        // other entries may have joined meanwhile
        countConfirmed |= now >= extraFrom;
        entryPeak.record(most);
    }

    /**
     * Records the retries that an earlier process of this entry has left, as a control instance has sent them. The highest numbers apply.
     *
     * @param open the number of retries by service; null if unknown to this control instance
     */
    public void recordInherited(Map<String, Integer> open) {
        if (open == null) {
            return;
        }
        open.forEach((service, count) -> inherited.merge(service, count, Math::max));
        if (!inheritedKnown) {
            LOG.infof("retries: %s of an earlier process may still arrive", open);
        }
        inheritedKnown = true;
    }

    /**
     * Counts a client request. Requests that are read in the window after the process was stopped may have been sent long before, and pay
     * for nothing.
     *
     * @param service the service of the request
     */
    public void recordRequest(String service) {
        long now = ticker.millis();
        detectStop(now);
        if (now >= requestsCountFrom) {
            window(service).recordRequest(now);
        }
    }

    private void detectStop(long now) {
        if (lastTickAt != Long.MIN_VALUE && now - lastTickAt > MAX_TICK_GAP_MILLIS) {
            requestsCountFrom = now + windowMillis;
        }
    }

    /**
     * Acquires a retry if the budget allows it.
     *
     * @param service the service of the request
     * @return the charge, to be settled once the retry can no longer arrive; null if the request must not be retried
     */
    RetryCharge tryRetry(String service) {
        double available = availableExtra(service);
        return window(service)
                .tryRetry(ticker.millis(), ratio * USABLE_FRACTION, available, maxOpen(service, available));
    }

    /**
     * Charges a repeat for which another entry has acquired a retry, and which a target of this entry may read later.
     *
     * @param service the service of the request
     * @return the charge
     */
    RetryCharge chargeRepeat(String service) {
        return window(service).charge();
    }

    /** Returns whether this entry may send a repeat of another one, which it charges if it abandons it. */
    boolean acceptsRepeat(String service) {
        return openRetries().getOrDefault(service, 0) + 1 <= Math.max(1, extraShare());
    }

    /** Requests pay for one retry at a time until the share is known. */
    private double maxOpen(String service, double available) {
        if (!isLeased()) {
            return Math.max(1, available);
        }
        return !isWithheld() && leases.acquire(service) ? 1 - inheritedRetries(service) : 0;
    }

    /**
     * Detects whether the process was stopped, and gives expired leases back once requests have paid for what they were used for; called every
     * {@link UnreadAttemptCheck#INTERVAL_MILLIS} on the I/O thread.
     */
    public void tick() {
        long now = ticker.millis();
        detectStop(now);
        lastTickAt = now;
        for (String service : leases.expired()) {
            if (window(service).isPaid(now, ratio * USABLE_FRACTION)) {
                leases.release(service);
            }
        }
    }

    /**
     * Creates a report of the leases of this entry. Until its earlier process has been taken into account, an entry does not report, and
     * counts as one that holds leases.
     *
     * @return the report; null if the entry needs no leases, or may not have any yet
     */
    public RetryLeaseReport reportLeases() {
        return isLeased() && !isWithheld()
                ? leases.createReport(leaseCount(), openRetries().keySet())
                : null;
    }

    /**
     * Applies the answer to a report of leases.
     *
     * @param grant the answer; null for none
     */
    public void recordLeases(RetryLeaseGrant grant) {
        if (grant != null) {
            leases.apply(grant);
        }
    }

    private int leaseCount() {
        return (int) (extra * USABLE_FRACTION);
    }

    private boolean isLeased() {
        return leaseCount() > 0 && entryCount() > leaseCount();
    }

    private boolean isWithheld() {
        return !countConfirmed || !inheritedKnown && ticker.millis() < startedAt + UNKNOWN_PROCESS_MILLIS;
    }

    private double availableExtra(String service) {
        double share = isLeased() ? leases.isValid(service) ? 1 : 0 : extraShare();
        return share - inheritedRetries(service);
    }

    /**
     * Returns the number of entries by which the fixed number of retries is divided.
     *
     * @return the number of entries; zero if unknown
     */
    public int entryCount() {
        return entryPeak.max();
    }

    /**
     * Returns the share of the fixed number of retries that this entry may use. If leases are needed, it is the mean number of them.
     *
     * @return retries per service and window
     */
    public double extraShare() {
        int count = entryCount();
        return count == 0 || isWithheld() ? 0 : extra / count * USABLE_FRACTION;
    }

    private int inheritedRetries(String service) {
        return ticker.millis() < startedAt + MAX_ARRIVAL_DELAY_MILLIS ? inherited.getOrDefault(service, 0) : 0;
    }

    /**
     * Returns the retries that may still arrive at their targets, including those of an earlier process.
     *
     * @return the number of retries by service; services without such retries are omitted
     */
    public Map<String, Integer> openRetries() {
        Map<String, Integer> out = new TreeMap<>();
        windows.forEach((service, window) -> out.put(service, window.openCharges()));
        inherited.keySet().forEach(service -> out.merge(service, inheritedRetries(service), Integer::sum));
        out.values().removeIf(count -> count == 0);
        return out;
    }

    /**
     * Describes the usage and the limit of the budget, for logs.
     *
     * @param service the service
     * @return the description
     */
    String describe(String service) {
        long now = ticker.millis();
        RetryWindow window = window(service);
        return String.format(
                Locale.ROOT,
                "%s: %d retries for %d requests in the window, %d of them may still arrive, %s",
                service,
                window.retries(now),
                window.requests(now),
                window.openCharges() + inheritedRetries(service),
                isLeased()
                        ? leases.isHeld(service) ? "a lease" : "no lease"
                        : String.format(Locale.ROOT, "%.1f extra", extraShare()));
    }

    private RetryWindow window(String service) {
        return windows.computeIfAbsent(service, s -> new RetryWindow(windowMillis));
    }
}
