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
package org.hallwall.domain;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.GroupMembership;
import org.hallwall.engine.TargetLoad;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against ending a group whose runs the controller has not heard of yet, because announcements and reports are late. */
class DrainTrackerTest {

    private static final GroupId GROUP = new GroupId("g:1");
    private static final long START = 10_000;
    private static final DomainTiming TIMING = DomainTiming.DEFAULT;

    private final DrainTracker tracker = new DrainTracker(TIMING);

    private static GroupView group(long announcedAt, int running) {
        InstanceId head = new InstanceId("a");
        GroupMembership m = new GroupMembership(GROUP, new ModelGroupId("g"), new FencingToken(1), List.of(head), true);
        Announcement a = new Announcement(
                head,
                "boot",
                1,
                new FailureDomainId("d"),
                null,
                4,
                new NetAddress("127.0.0.1", 1),
                true,
                null,
                m,
                null,
                "m",
                "1",
                List.of("x"),
                "BOTH",
                new TargetLoad(running, 0, 4),
                false);
        return GroupViews.of(List.of(new AnnouncedTarget(a, announcedAt))).get(GROUP);
    }

    @ParameterizedTest
    @CsvSource({
        // announced after the start, runs, evaluated after the start, expected
        "-100, 0, 1600, false",
        "700, 0, 1600, false",
        "1499, 0, 1600, false",
        "1500, 0, 1600, true",
        "1500, 1, 1600, false",
        "1400, 0, 1499, false",
        "2000, 0, 6000, true",
    })
    void drainEndsWithAnAnnouncementThatCoversAllRuns(long announced, int running, long now, boolean drained) {
        tracker.updateDraining(Set.of(GROUP), START);
        Set<GroupId> found = tracker.findDrained(Map.of(GROUP, group(START + announced, running)), START + now);
        assertEquals(drained ? Set.of(GROUP) : Set.of(), found);
    }

    @ParameterizedTest
    @CsvSource({"0, true", "2, false"})
    void drainWaitsForRunsThatAnEntryReports(int runs, boolean drained) {
        tracker.updateDraining(Set.of(GROUP), START);
        tracker.recordReport(
                new DomainMessage.DrainReport(new InstanceId("e"), Map.of(GROUP.value(), runs)), START + 1_500);
        Set<GroupId> found = tracker.findDrained(Map.of(GROUP, group(START + 1_600, 0)), START + 1_700);
        assertEquals(drained ? Set.of(GROUP) : Set.of(), found);
    }
}
