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
package org.hallwall.serving.availability;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.permit.RateLimiter;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a target that backs off or drains is available again. */
class TargetAvailabilityTest {

    private static final InstanceId TARGET = new InstanceId("i-1/a");
    private static final InstanceId NEXT_START = new InstanceId("i-1/b");
    private static final TargetNotice DRAINING = TargetNotice.draining();

    private long now = 1_000;
    private final TargetAvailability availability = new TargetAvailability(() -> now, RateLimiter.UNLIMITED);

    private void backOff(long millis) {
        availability.applyNotice(TARGET, TargetNotice.backoff(millis));
    }

    @Test
    void targetIsUnavailableUntilTheBackoffEnds() {
        backOff(3_000);
        now += 3_000;
        Assertions.assertFalse(availability.isAvailable(TARGET));
        Assertions.assertTrue(availability.isBackingOff(TARGET));
        now += 1;
        Assertions.assertTrue(availability.isAvailable(TARGET));
        Assertions.assertFalse(availability.isBackingOff(TARGET));
    }

    @ParameterizedTest
    @CsvSource({"3000, 1000, 3001", "1000, 3000, 3001", "2000, 2000, 2001"})
    void shorterBackoffDoesNotShortenALongerOne(long one, long other, long until) {
        backOff(one);
        backOff(other);
        Assertions.assertEquals(until, availability.backoffMillis(TARGET));
    }

    /** A backoff time counts from the response that requests it. */
    @Test
    void laterBackoffExtendsTheEarlierOne() {
        backOff(2_000);
        now += 1_500;
        backOff(1_000);
        Assertions.assertEquals(1_001, availability.backoffMillis(TARGET));
    }

    @Test
    void drainingIsFinal() {
        availability.applyNotice(TARGET, DRAINING);
        backOff(10);
        now += 86_400_000;
        Assertions.assertFalse(availability.isAvailable(TARGET));
        Assertions.assertTrue(availability.isDraining(TARGET));
    }

    @Test
    void otherStartsAreNotAffected() {
        availability.applyNotice(TARGET, DRAINING);
        backOff(10_000);
        Assertions.assertTrue(availability.isAvailable(NEXT_START));
        Assertions.assertFalse(availability.isBackingOff(NEXT_START));
    }

    /** A later response without a notice changes nothing. */
    @Test
    void laterResponseWithoutNoticeDoesNotEndTheBackoff() {
        backOff(1_000);
        availability.applyNotice(TARGET, TargetNotice.NONE);
        Assertions.assertFalse(availability.isAvailable(TARGET));
    }

    @Test
    void stateIsBounded() {
        for (int i = 0; i < 10_000; i++) {
            availability.applyNotice(new InstanceId("i-" + i), DRAINING);
        }
        Assertions.assertEquals(4_096, availability.drainingCount());
    }

    @Test
    void unavailableTargetsAreDescribed() {
        availability.applyNotice(NEXT_START, DRAINING);
        backOff(2_000);
        availability.applyNotice(TARGET, new TargetNotice(0, false, null, "soon"));
        Assertions.assertEquals(
                "{i-1/a=backing off for 2001 ms, i-1/b=draining}",
                availability.describeUnavailable().toString());
        Assertions.assertEquals(1, availability.backingOffCount());
        Assertions.assertEquals(1, availability.malformedNotices());
    }
}
