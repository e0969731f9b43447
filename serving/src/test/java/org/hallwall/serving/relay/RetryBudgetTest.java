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

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The retries of all entries stay within the bound. */
class RetryBudgetTest {

    private static final long WINDOW = RetryBudgetFixture.WINDOW_MILLIS;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 9, 80})
    void totalOfAllEntriesStaysWithinTheBound(int entries) {
        AtomicLong now = new AtomicLong();
        int spent = 0;
        int requests = 0;
        for (int e = 0; e < entries; e++) {
            RetryBudget budget = RetryBudgetFixture.createCounted(0.2, 100, entries, now::get);
            for (int i = 0; i < 50; i++) {
                budget.recordRequest("s");
                requests++;
                spent += budget.tryRetry("s") == null ? 0 : 1;
            }
        }
        Assertions.assertTrue(spent <= requests * 0.2 + 100, spent + " of " + requests);
    }

    /** Other entries may have spent the share of one that they did not know. */
    @Test
    void fixedPartIsWithheldForAWindowAfterTheEntryIsCounted() {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = new RetryBudget(0, 10, WINDOW, now::get);
        now.set(3 * WINDOW);
        budget.recordEntryCount(1);
        budget.recordInherited(Map.of());
        Assertions.assertNull(budget.tryRetry("s"));
        now.addAndGet(WINDOW);
        Assertions.assertNull(budget.tryRetry("s"));
        now.addAndGet(1_000);
        Assertions.assertNull(budget.tryRetry("s"), "the number has not been confirmed since");
        budget.recordEntryCount(1);
        Assertions.assertNotNull(budget.tryRetry("s"));
    }

    /** What an earlier process has sent to stopped targets may still arrive. */
    @ParameterizedTest
    @CsvSource({"3, 7", "0, 10", ", 0"})
    void retriesOfAnEarlierProcessCountUntilTheyCanNoLongerArrive(Integer inherited, int granted) {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = new RetryBudget(0, 12, WINDOW, now::get);
        budget.recordEntryCount(1);
        budget.recordInherited(inherited == null ? null : Map.of("s", inherited));
        now.set(2 * WINDOW);
        budget.recordEntryCount(1);
        Assertions.assertEquals(granted, countGranted(budget, now.get()));
        Assertions.assertEquals(
                inherited == null ? 0 : inherited, budget.openRetries().getOrDefault("s", 0));
        now.set(RetryBudget.MAX_ARRIVAL_DELAY_MILLIS);
        Assertions.assertEquals(10, countGranted(budget, now.get()));
    }

    /** Guards against retries paid for by requests that were sent long before the entry, which was stopped, has read them. */
    @ParameterizedTest
    @CsvSource({"1000, 26", "35000, 9"})
    void requestsThatWaitedWhileTheEntryWasStoppedPayForNothing(long stopMillis, int most) {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = RetryBudgetFixture.createCounted(0.2, 10, 1, now::get);
        budget.tick();
        now.addAndGet(stopMillis);
        for (int i = 0; i < 200; i++) {
            budget.recordRequest("s");
            budget.tick();
            now.addAndGet(25);
        }
        Assertions.assertEquals(most, countGranted(budget, now.get()));
    }

    /** Guards against more abandoned repeats of other entries than the fixed part covers. */
    @ParameterizedTest
    @CsvSource({"10, 9", "3, 2", "1, 1"})
    void repeatsOfOtherEntriesAreAcceptedUpToTheFixedPart(double extra, int most) {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = RetryBudgetFixture.createCounted(0.2, extra, 1, now::get);
        RetryCharge charge = null;
        int accepted = 0;
        while (budget.acceptsRepeat("s")) {
            charge = budget.chargeRepeat("s");
            accepted++;
        }
        Assertions.assertEquals(most, accepted);
        Assertions.assertNull(budget.tryRetry("s"));
        charge.settle(now.get());
        Assertions.assertTrue(budget.acceptsRepeat("s"));
    }

    private static int countGranted(RetryBudget budget, long now) {
        int out = 0;
        while (settle(budget.tryRetry("s"), now)) {
            out++;
        }
        return out;
    }

    @Test
    void windowSlides() {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = RetryBudgetFixture.createCounted(0, 10, 1, now::get);
        int first = 0;
        while (settle(budget.tryRetry("s"), now.get())) {
            first++;
        }
        Assertions.assertTrue(first > 0 && first <= 10);
        now.set(WINDOW / 2);
        Assertions.assertNull(budget.tryRetry("s"));
        now.set(WINDOW + 1_000);
        Assertions.assertNotNull(budget.tryRetry("s"));
    }

    /** A target that is stopped reads a retry in a later window than the one in which it was sent. */
    @Test
    void openChargeCountsInEveryWindowUntilItIsSettled() {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = RetryBudgetFixture.createCounted(0, 2, 1, now::get);
        RetryCharge charge = budget.tryRetry("s");
        now.addAndGet(2 * WINDOW);
        Assertions.assertNull(budget.tryRetry("s"));
        charge.settle(now.get());
        Assertions.assertNull(budget.tryRetry("s"));
        now.addAndGet(WINDOW + 1_000);
        Assertions.assertNotNull(budget.tryRetry("s"));
    }

    /** Guards against retries that many requests have paid for, and that arrive when the callers have gone. */
    @ParameterizedTest
    @CsvSource({"10, 9", "3, 2", "1, 1", "0, 1"})
    void openRetriesStayWithinTheFixedPart(double extra, int most) {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = RetryBudgetFixture.createCounted(0.2, extra, 1, now::get);
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest("s");
            now.addAndGet(5);
            budget.tryRetry("s");
        }
        Assertions.assertEquals(Map.of("s", most), budget.openRetries());
    }

    /** Guards against retries that are forgotten while their targets are stopped for long. */
    @ParameterizedTest
    @ValueSource(longs = {75_000, 95_000, 3_600_000})
    void chargeStaysOpenHoweverLongItsTargetIsStopped(long stopMillis) {
        AtomicLong now = new AtomicLong();
        RetryBudget budget = RetryBudgetFixture.createCounted(0, 2, 1, now::get);
        RetryCharge charge = budget.tryRetry("s");
        for (long end = now.get() + stopMillis; now.get() < end; now.addAndGet(1_000)) {
            Assertions.assertNull(budget.tryRetry("s"));
        }
        charge.settle(now.get());
        Assertions.assertNull(budget.tryRetry("s"));
        now.addAndGet(WINDOW + 1_000);
        Assertions.assertNotNull(budget.tryRetry("s"));
    }

    private static boolean settle(RetryCharge charge, long now) {
        if (charge != null) {
            charge.settle(now);
        }
        return charge != null;
    }
}
