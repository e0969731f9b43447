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
package org.hallwall.serving.permit;

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One entry's permits, with and without a reachable control instance. */
class EntryPermitsTest {

    private static final InstanceId TARGET = new InstanceId("i-1");
    private static final InstanceId ENTRY = new InstanceId("e-1");
    private static final long MINUTE_MILLIS = 60_000;

    private long now = 10_000;
    private final PermitAllocator allocator = new PermitAllocator(() -> now, 0);
    private final EntryPermits permits = new EntryPermits(() -> now, () -> 0.5);

    private void receiveLimit(double perSecond) {
        permits.applyStatement(
                TARGET, new LimitStatement(perSecond < 0 ? null : new RateLimit(perSecond), now - 10, now));
    }

    private void exchange() {
        if (permits.millisUntilDue() == 0) {
            permits.applyGrants(allocator.allocate(ENTRY, permits.dueRequests()), now);
        }
    }

    @Test
    void targetsAreUnlimitedInitially() {
        Assertions.assertTrue(permits.tryAcquire(TARGET));
        Assertions.assertEquals(-1, permits.millisUntilDue());
    }

    @Test
    void limitAppliesFromTheFirstResponse() {
        receiveLimit(2);
        Assertions.assertFalse(permits.tryAcquire(TARGET));
        Assertions.assertTrue(permits.retryMillis(TARGET) > 0);
    }

    @ParameterizedTest
    @CsvSource({"0, 6", "0.1, 6", "0.3, 18", "2, 120", "50, 3000"})
    void permitsMatchTheLimit(double perSecond, int most) {
        receiveLimit(perSecond);
        int count = 0;
        for (long end = now + MINUTE_MILLIS; now < end; now += 10) {
            permits.recordDemand(TARGET);
            exchange();
            count += permits.tryAcquire(TARGET) ? 1 : 0;
        }
        int acquired = count;
        int least = (int) (most * 0.9);
        Assertions.assertTrue(
                acquired <= most && acquired >= least, () -> acquired + " permits, the limit allows " + most);
    }

    @Test
    void expiredPermitsAreReturned() {
        receiveLimit(2);
        exchange();
        now += 1_000;
        permits.recordDemand(TARGET);
        exchange();
        now += LimitedTarget.LEASE_MILLIS;
        Assertions.assertFalse(permits.tryAcquire(TARGET));
        List<PermitDemand> asks = permits.dueRequests();
        Assertions.assertEquals(1, asks.size());
        Assertions.assertTrue(asks.get(0).unused() > 0);
    }

    /** A response without a limit ends it, and other entries learn so through the control instance. */
    @Test
    void responseWithoutLimitEndsIt() {
        receiveLimit(2);
        exchange();
        now += 100;
        receiveLimit(-1);
        Assertions.assertTrue(permits.tryAcquire(TARGET));
        exchange();
        Assertions.assertFalse(allocator.isLimited(TARGET));
        EntryPermits other = new EntryPermits(() -> now, () -> 0.5);
        other.applyReports(allocator.limits());
        Assertions.assertTrue(other.tryAcquire(TARGET));
    }

    /** A suspended entry may report an outdated end of a limit; the version that it knew prevents that from ending a newer limit. */
    @Test
    void lateReportOfASuspendedEntryDoesNotEndANewerLimit() {
        receiveLimit(2);
        exchange();
        now += 100;
        receiveLimit(-1);
        List<PermitDemand> late = permits.dueRequests();
        EntryPermits other = new EntryPermits(() -> now, () -> 0.5);
        other.applyStatement(TARGET, new LimitStatement(new RateLimit(1), now - 10, now));
        other.applyGrants(allocator.allocate(new InstanceId("e-2"), other.dueRequests()), now);
        now += 5_000;
        permits.applyGrants(allocator.allocate(ENTRY, late), now);
        Assertions.assertTrue(allocator.isLimited(TARGET));
        Assertions.assertFalse(permits.tryAcquire(TARGET));
    }

    @Test
    void otherEntriesLearnTheLimit() {
        receiveLimit(2);
        exchange();
        EntryPermits other = new EntryPermits(() -> now, () -> 0.5);
        other.applyReports(allocator.limits());
        Assertions.assertFalse(other.tryAcquire(TARGET));
    }

    /** Without a control instance an entry uses a fraction of its even share, and nothing if the number of entries is unknown. */
    @ParameterizedTest
    @CsvSource({"9, 2, 5", "9, 50, 101", "350, 2, 1", "0, 50, 0"})
    void localPermitsAreAFractionOfTheEvenShare(int entries, double perSecond, int most) {
        permits.entryCount(entries);
        receiveLimit(perSecond);
        int count = 0;
        for (long end = now + MINUTE_MILLIS; now < end; now += 10) {
            permits.recordDemand(TARGET);
            permits.dueRequests();
            count += permits.tryAcquire(TARGET) ? 1 : 0;
        }
        int acquired = count;
        Assertions.assertTrue(acquired <= most, () -> acquired + " local permits, " + most + " allowed");
        Assertions.assertTrue(most < 5 || acquired >= most * 0.8, () -> "only " + acquired + " local permits");
    }

    /** Orders of the control instance may use a bounded number of permits in advance. */
    @Test
    void ordersAcquirePermitsInAdvance() {
        allocator.applyStatement(TARGET, new LimitStatement(new RateLimit(0.1), now - 10, now));
        Assertions.assertTrue(allocator.tryAcquire(TARGET));
        Assertions.assertTrue(allocator.tryAcquire(TARGET));
        Assertions.assertFalse(allocator.tryAcquire(TARGET));
    }
}
