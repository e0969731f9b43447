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

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.hallwall.core.time.RecentPeak;
import org.hallwall.core.time.Ticker;

/**
 * Bounds how often requests are sent again, for each service by itself: in any window the entries together send at most a part of
 * the service's requests again, and some more. A service in trouble is not to be buried under retries that others pay for.
 *
 * <p>Each entry spends for its own requests, and an equal share of what is allowed besides. Used on the I/O thread only.
 */
public final class RetryBudget {

    /**
     * The part of the bound that is spent. The rest covers requests that callers sent in the window and that are read here after
     * its end, and entries whose counts of each other differ for a moment.
     */
    private static final double SPENT_PART = 0.9;

    /**
     * How long the highest number of entries is remembered, in milliseconds. It outlasts a cut in which an entry hears only a control
     * instance that counts fewer, and a wave of restarts; entries that have left for good leave their share unused meanwhile.
     */
    private static final long PEAK_MILLIS = 3_600_000;

    private final double ratio;
    private final double extra;
    private final long windowMillis;
    private final Ticker ticker;
    private final Map<String, RetryAccount> accounts = new HashMap<>();
    private final RecentPeak entries;
    private final long sharesFrom;

    /**
     * Creates a budget; until the number of entries is known, it allows no more than what requests pay for.
     *
     * @param ratio retries allowed for each request of a service
     * @param extra retries allowed besides for each service, over the whole system
     * @param windowMillis the window, in milliseconds
     * @param firstStart whether no entry ran before, so that nothing can have been spent
     * @param ticker the clock
     */
    public RetryBudget(double ratio, double extra, long windowMillis, boolean firstStart, Ticker ticker) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowMillis = windowMillis;
        this.ticker = ticker;
        this.entries = new RecentPeak(PEAK_MILLIS, ticker);
        // an entry that starts again doesn't know what it spent before; its share comes back when no window holds that
        // any more
        this.sharesFrom = ticker.millis() + (firstStart ? 0 : windowMillis + RetryAccount.lateMillis(windowMillis));
    }

    /**
     * Tells how many entries share the budget.
     *
     * @param most the most that there were lately, as a control instance knows; zero if it does not
     */
    public void entries(int most) {
        entries.note(most);
    }

    /**
     * Counts a request of a caller.
     *
     * @param service the service that it goes to
     */
    public void request(String service) {
        account(service).request(ticker.millis());
    }

    /**
     * Takes a retry if the budget allows it.
     *
     * @param service the service that the request goes to
     * @return true if the request may be sent again
     */
    public boolean tryRetry(String service) {
        return account(service).tryRetry(ticker.millis(), ratio * SPENT_PART, share());
    }

    /**
     * Tells an account, for logs: what was spent, and what bounds it.
     *
     * @param service the service
     * @return the account in words
     */
    String describe(String service) {
        long now = ticker.millis();
        RetryAccount a = account(service);
        return String.format(
                Locale.ROOT,
                "%s: %d retries for %d requests in the window, %.1f besides",
                service,
                a.retries(now),
                a.requests(now),
                share());
    }

    private double share() {
        int count = entries.highest();
        return count == 0 || ticker.millis() < sharesFrom ? 0 : extra / count * SPENT_PART;
    }

    private RetryAccount account(String service) {
        return accounts.computeIfAbsent(service, s -> new RetryAccount(windowMillis));
    }
}
