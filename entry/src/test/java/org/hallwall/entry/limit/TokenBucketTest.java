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

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TokenBucketTest {

    @Test
    void grantsTokensAtConfiguredRate() {
        TokenBucket bucket = new TokenBucket(10, 2, 0);
        int acquired = 0;
        for (long now = 0; now < 10_000; now += 5) {
            acquired += bucket.tryAcquire(now) ? 1 : 0;
        }
        assertEquals(102, acquired, 1);
    }

    @Test
    void reportsTimeUntilNextToken() {
        TokenBucket bucket = new TokenBucket(4, 1, 0);
        assertTrue(bucket.tryAcquire(0));
        assertFalse(bucket.tryAcquire(0));
        assertEquals(Duration.ofMillis(250), bucket.timeUntilNextToken(0));
    }

    @Test
    void refusesWhileInDebt() {
        TokenBucket bucket = new TokenBucket(100, 100, 0);
        bucket.charge(300, 0);
        assertFalse(bucket.isPositive(1_900));
        assertTrue(bucket.isPositive(2_100));
    }
}
