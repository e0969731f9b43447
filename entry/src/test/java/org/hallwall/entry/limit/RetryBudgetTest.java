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

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryBudgetTest {

    private static final int REQUESTS = 10_000;
    private static final int MAX_RETRIES = 10;

    /** With half of all attempts failing, unlimited retries would double the load. */
    @Test
    void boundsLoadWhenHalfOfAttemptsFail() {
        double with = attemptsPerRequest(new RetryBudget());
        double without = attemptsPerRequest(null);
        assertTrue(with <= 1.2, "with a budget " + with);
        assertTrue(without >= 1.9, "without a budget " + without);
    }

    @Test
    void recoversWithSuccesses() {
        RetryBudget budget = new RetryBudget();
        while (budget.tryAcquire()) {
            assertTrue(budget.granted() <= MAX_RETRIES);
        }
        for (int i = 0; i < MAX_RETRIES; i++) {
            budget.recordSuccess();
        }
        assertTrue(budget.tryAcquire());
        assertEquals(11, budget.granted());
        assertEquals(1, budget.refused());
    }

    private static double attemptsPerRequest(RetryBudget budget) {
        Random random = new Random(1);
        int attempts = 0;
        for (int i = 0; i < REQUESTS; i++) {
            boolean retry = true;
            while (retry) {
                attempts++;
                boolean failed = random.nextBoolean();
                if (!failed && budget != null) {
                    budget.recordSuccess();
                }
                retry = failed && (budget == null || budget.tryAcquire());
            }
        }
        return (double) attempts / REQUESTS;
    }
}
