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
package org.hallwall.entry.limit;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a share of recent successes, so that a fleet half dead does not see its load multiplied. Safe for
 * use by several threads.
 */
public final class RetryBudget {

    private static final long UNITS_A_RETRY = 10;
    private static final long MOST_UNITS = 100;

    private final AtomicLong units = new AtomicLong(MOST_UNITS);
    private final AtomicLong spent = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();

    /** Notes a success: a tenth of a retry. */
    public void succeeded() {
        units.updateAndGet(u -> Math.min(MOST_UNITS, u + 1));
    }

    /**
     * Takes a retry.
     *
     * @return false if the budget is used up
     */
    public boolean take() {
        long before = units.getAndUpdate(u -> u >= UNITS_A_RETRY ? u - UNITS_A_RETRY : u);
        boolean taken = before >= UNITS_A_RETRY;
        (taken ? spent : refused).incrementAndGet();
        return taken;
    }

    /**
     * Counts the retries taken since the start.
     *
     * @return how many
     */
    public long spent() {
        return spent.get();
    }

    /**
     * Counts the retries refused since the start.
     *
     * @return how many
     */
    public long refused() {
        return refused.get();
    }
}
