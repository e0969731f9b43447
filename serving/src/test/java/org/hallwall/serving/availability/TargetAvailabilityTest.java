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

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a target that has asked for rest, or said that it leaves, may be asked again. */
class TargetAvailabilityTest {

    private static final InstanceId TARGET = new InstanceId("i-1/a");
    private static final InstanceId NEXT_START = new InstanceId("i-1/b");
    private static final TargetNotice LEAVES = new TargetNotice(0, true, null);
    private static final int OK = 200;
    private static final int TURNED_AWAY = 503;

    private long now = 1_000;
    private double drawn;
    private final TargetAvailability availability = new TargetAvailability(() -> now, () -> drawn);

    private void rest(long millis) {
        availability.take(TARGET, new TargetNotice(millis, false, null));
    }

    private void answer(SendPermit permit, int status) {
        permit.answered(status, TargetNotice.NONE);
        permit.end();
    }

    @Test
    void nothingIsSentUntilTheRestIsOver() {
        rest(3_000);
        now += 3_000;
        Assertions.assertFalse(availability.wantsRequests(TARGET));
        Assertions.assertNull(availability.tryBegin(TARGET));
        Assertions.assertTrue(availability.isResting(TARGET));
        now += 1;
        Assertions.assertTrue(availability.wantsRequests(TARGET));
        Assertions.assertFalse(availability.isResting(TARGET));
    }

    @ParameterizedTest
    @CsvSource({"3000, 1000, 3001", "1000, 3000, 3001", "2000, 2000, 2001"})
    void aShorterRestDoesNotShortenALongerOne(long one, long other, long until) {
        rest(one);
        rest(other);
        Assertions.assertEquals(until, availability.againMillis(TARGET));
    }

    @Test
    void afterARestTheFirstRequestGoesAlone() {
        rest(1_000);
        now += 1_001;
        SendPermit first = availability.tryBegin(TARGET);
        Assertions.assertNotNull(first);
        Assertions.assertNull(availability.tryBegin(TARGET));
        answer(first, OK);
        Assertions.assertNotNull(availability.tryBegin(TARGET));
        Assertions.assertNotNull(availability.tryBegin(TARGET));
    }

    @Test
    void aFirstRequestThatIsTurnedAwayIsNotFollowedAtOnce() {
        rest(1_000);
        now += 1_001;
        answer(availability.tryBegin(TARGET), TURNED_AWAY);
        Assertions.assertFalse(availability.wantsRequests(TARGET));
        now += 400;
        Assertions.assertNotNull(availability.tryBegin(TARGET));
        Assertions.assertNull(availability.tryBegin(TARGET));
    }

    /** Its caller has left, or the connection has failed: that says nothing of the target. */
    @Test
    void aFirstRequestWithoutAnAnswerIsFollowedByAnother() {
        rest(1_000);
        now += 1_001;
        availability.tryBegin(TARGET).end();
        Assertions.assertNotNull(availability.tryBegin(TARGET));
    }

    @Test
    void aFirstRequestThatHangsIsFollowedByAnother() {
        rest(1_000);
        now += 1_001;
        availability.tryBegin(TARGET);
        now += 999;
        Assertions.assertNull(availability.tryBegin(TARGET));
        now += 1;
        Assertions.assertNotNull(availability.tryBegin(TARGET));
    }

    /** A request that was sent before may bring the word while another one waits for its connection. */
    @Test
    void whatWasPermittedBeforeIsNotWantedAnyMore() {
        SendPermit before = availability.tryBegin(TARGET);
        SendPermit other = availability.tryBegin(TARGET);
        Assertions.assertTrue(before.isStillWanted());
        other.answered(TURNED_AWAY, new TargetNotice(500, false, null));
        Assertions.assertFalse(before.isStillWanted());
        now += 501;
        Assertions.assertTrue(before.isStillWanted());
        other.answered(OK, LEAVES);
        Assertions.assertFalse(before.isStillWanted());
    }

    /** An answer of an attempt from before the rest does not open the target for all. */
    @Test
    void anOlderAttemptDoesNotEndTheRest() {
        SendPermit before = availability.tryBegin(TARGET);
        rest(1_000);
        answer(before, OK);
        Assertions.assertFalse(availability.wantsRequests(TARGET));
        now += 1_001;
        availability.tryBegin(TARGET);
        Assertions.assertNull(availability.tryBegin(TARGET));
    }

    @Test
    void whoLeavesGetsNothingMoreForGood() {
        availability.take(TARGET, LEAVES);
        rest(10);
        now += 86_400_000;
        Assertions.assertNull(availability.tryBegin(TARGET));
        Assertions.assertTrue(availability.isLeaving(TARGET));
    }

    @Test
    void anotherStartHasSaidNothing() {
        availability.take(TARGET, LEAVES);
        rest(10_000);
        Assertions.assertNotNull(availability.tryBegin(NEXT_START));
        Assertions.assertFalse(availability.isResting(NEXT_START));
    }

    /** Entries that were turned away in one moment do not come back in one moment, and none comes early. */
    @ParameterizedTest
    @CsvSource({"1, 5", "9, 45", "82, 410", "350, 1000"})
    void entriesComeBackOneAfterTheOther(int entries, long lastMillis) {
        availability.entries(entries);
        List<Long> starts = new ArrayList<>();
        for (double draw : new double[] {0, 0.5, 1}) {
            drawn = draw;
            InstanceId target = new InstanceId("i-" + draw);
            availability.take(target, new TargetNotice(1_000, false, null));
            starts.add(availability.againMillis(target) - 1_001);
        }
        Assertions.assertEquals(List.of(0L, (long) (lastMillis * 0.5), lastMillis), starts);
    }

    @Test
    void whatIsRememberedIsBounded() {
        for (int i = 0; i < 10_000; i++) {
            availability.take(new InstanceId("i-" + i), LEAVES);
        }
        Assertions.assertEquals(4_096, availability.leaving());
    }

    @Test
    void peopleAreTold() {
        availability.take(NEXT_START, LEAVES);
        rest(2_000);
        availability.take(TARGET, new TargetNotice(0, false, "soon"));
        Assertions.assertEquals(
                "{i-1/a=rests for 2001 ms, i-1/b=leaves}",
                availability.unwilling().toString());
        Assertions.assertEquals(1, availability.resting());
        Assertions.assertEquals(1, availability.unread());
    }
}
