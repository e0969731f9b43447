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
 * Limits retries to a fraction of recent successes, so that retries do not multiply the load while many targets fail.
 * Thread-safe.
 */
public final class RetryBudget {

    private static final long UNITS_PER_RETRY = 10;
    private static final long MAX_UNITS = 100;

    private final AtomicLong units = new AtomicLong(MAX_UNITS);
    private final AtomicLong granted = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();

    /** Records a success, which adds a tenth of a retry to the budget. */
    public void recordSuccess() {
        units.updateAndGet(u -> Math.min(MAX_UNITS, u + 1));
    }

    /**
     * Acquires permission for one retry.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire() {
        long before = units.getAndUpdate(u -> u >= UNITS_PER_RETRY ? u - UNITS_PER_RETRY : u);
        boolean acquired = before >= UNITS_PER_RETRY;
        (acquired ? granted : refused).incrementAndGet();
        return acquired;
    }

    /**
     * Returns the number of retries granted since the start.
     *
     * @return the number of retries
     */
    public long granted() {
        return granted.get();
    }

    /**
     * Returns the number of retries refused since the start.
     *
     * @return the number of retries
     */
    public long refused() {
        return refused.get();
    }
}
