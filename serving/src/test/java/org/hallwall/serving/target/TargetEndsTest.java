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
package org.hallwall.serving.target;

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.target.TargetRecord.Presence;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an older announcement that brings back a target whose end was acknowledged, or an end that outlasts its start. */
class TargetEndsTest {

    private static final long HOUR_MILLIS = 3_600_000;

    private final TargetEnds ends = new TargetEnds();

    private static TargetRecord record(long start, long sequence, Presence presence) {
        InstanceId id = TargetIds.id("i-1", start);
        return new TargetRecord(
                id, sequence, "s", new NetAddress("10.0.0.1", 80), "a", 4, presence, null, null, List.of(), null);
    }

    @ParameterizedTest
    @CsvSource({
        "0, SERVING, GONE",
        "1000, SERVING, GONE",
        "2000, SERVING, GONE",
        "2000, LEAVING, GONE",
        "2001, SERVING, SERVING",
        "2001, LEAVING, LEAVING"
    })
    void aShutdownAppliesToAllStartsUpToItsOwn(long start, Presence announced, Presence applied) {
        ends.record(TargetEnd.shutdown("i-1", 2_000), 0);
        Assertions.assertEquals(applied, ends.apply(record(start, 3, announced)).presence());
    }

    @Test
    void anOlderAnnouncementOfALeavingTargetStaysSupersededByItsEnd() {
        ends.record(TargetEnd.of(record(1_000, 9, Presence.LEAVING)), 0);
        TargetRecord late = ends.apply(record(1_000, 5, Presence.SERVING));
        Assertions.assertEquals(Presence.LEAVING, late.presence());
        Assertions.assertEquals(9, late.sequence());
        Assertions.assertFalse(ends.contains(TargetEnd.shutdown("i-1", 1_000)), "the shutdown is still to be recorded");
    }

    @Test
    void anEndOfAnEarlierStartDoesNotReplaceALaterOne() {
        ends.record(TargetEnd.shutdown("i-1", 2_000), 0);
        ends.record(TargetEnd.shutdown("i-1", 1_000), 1);
        Assertions.assertTrue(ends.contains(TargetEnd.shutdown("i-1", 2_000)));
    }

    @Test
    void endsExpire() {
        ends.record(TargetEnd.shutdown("i-1", 2_000), 0);
        ends.record(TargetEnd.shutdown("i-2", 2_000), HOUR_MILLIS);
        Assertions.assertEquals(1, ends.list().size());
    }

    @Test
    void theNumberOfEndsIsBounded() {
        for (int i = 0; i < 10_000; i++) {
            ends.record(TargetEnd.shutdown("i-" + i, 2_000), i);
        }
        Assertions.assertTrue(ends.list().size() <= 4_096);
        Assertions.assertTrue(ends.contains(TargetEnd.shutdown("i-9999", 2_000)));
    }
}
