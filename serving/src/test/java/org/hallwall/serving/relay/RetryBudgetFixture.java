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

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.hallwall.core.time.Ticker;

/** Creates retry budgets for tests. */
final class RetryBudgetFixture {

    static final long WINDOW_MILLIS = 10_000;

    private RetryBudgetFixture() {}

    /** Creates the budget of an entry that the control instances have counted for longer than a window. */
    static RetryBudget createCounted(double ratio, double extra, int entries, Ticker ticker) {
        AtomicLong offset = new AtomicLong(-4 * WINDOW_MILLIS);
        RetryBudget budget = new RetryBudget(ratio, extra, WINDOW_MILLIS, () -> ticker.millis() + offset.get());
        budget.recordEntryCount(entries);
        offset.addAndGet(2 * WINDOW_MILLIS);
        budget.recordEntryCount(entries);
        budget.recordInherited(Map.of());
        offset.set(0);
        return budget;
    }
}
