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

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.GroupMembership;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class GroupViewsTest {

    private static final GroupId GROUP = new GroupId("g:1");
    private static final List<InstanceId> MEMBERS = List.of(new InstanceId("a"), new InstanceId("b"));
    private static final long NOW = 10_000;
    private static final long LEASE = 1_500;

    private final List<AnnouncedTarget> targets = new ArrayList<>();

    @Test
    void isCompleteOnlyIfAllMembersAnnounceItAndHaveLoaded() {
        add("a", 1, true, "BOTH", NOW);
        assertFalse(view().isComplete(NOW, LEASE), "a member is missing");
        add("b", 1, true, "BOTH", NOW - LEASE - 1);
        assertFalse(view().isComplete(NOW, LEASE), "the announcement of a member has expired");
        targets.remove(1);
        add("b", 1, false, "BOTH", NOW);
        assertFalse(view().isComplete(NOW, LEASE), "a member has not loaded");
        targets.remove(1);
        add("b", 1, true, "BOTH", NOW);
        assertTrue(view().isComplete(NOW, LEASE));
    }

    @Test
    void ignoresMembersWithOutdatedFencingNumber() {
        add("a", 2, true, "BOTH", NOW);
        add("b", 1, true, "BOTH", NOW);
        assertFalse(view().isComplete(NOW, LEASE));
        assertEquals(1, view().present().size());
    }

    @ParameterizedTest
    @CsvSource({"BOTH, true", "PREFILL, false", "DECODE, false", "other, false"})
    void onlyRoleBothServesFullRequests(String role, boolean serves) {
        add("a", 1, true, role, NOW);
        assertEquals(serves, view().servesFullRequests());
    }

    @Test
    void hasAdapterOnlyIfAllMembersDo() {
        add("a", 1, true, "BOTH", NOW);
        add("b", 1, true, "BOTH", NOW);
        assertTrue(view().hasAdapter("x"));
        assertTrue(view().hasAdapter(null));
        assertFalse(view().hasAdapter("y"));
    }

    private GroupView view() {
        return GroupViews.of(targets).get(GROUP);
    }

    private void add(String name, long fencing, boolean loaded, String role, long heardAt) {
        GroupMembership m =
                new GroupMembership(GROUP, new ModelGroupId("g"), new FencingToken(fencing), MEMBERS, loaded);
        Announcement a = new Announcement(
                new InstanceId(name),
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
                role,
                null,
                false);
        targets.add(new AnnouncedTarget(a, heardAt));
    }
}
