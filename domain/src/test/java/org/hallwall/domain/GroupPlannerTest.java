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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.FabricDomainId;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.GroupMembership;
import org.hallwall.engine.TargetLoad;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.RepairPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class GroupPlannerTest {

    private static final ModelGroupId MENU = new ModelGroupId("menu");
    private static final long NOW = 100_000;

    private final GroupPlanner planner = new GroupPlanner(DomainTiming.DEFAULT);
    private final List<AnnouncedTarget> targets = new ArrayList<>();
    private final Map<InstanceId, GroupId> ordered = new HashMap<>();

    @ParameterizedTest
    @EnumSource(RepairPolicy.class)
    void formsGroupsWithinOneFabricDomain(RepairPolicy policy) {
        idle("a1", "fa");
        idle("b1", "fb");
        idle("b2", "fb");
        assertEquals(List.of("form [b1, b2]"), plan(wanted(2, 2, policy), Set.of()));
    }

    @Test
    void keepsWholeFabricDomainsFree() {
        for (String t : List.of("a1", "a2", "a3", "a4", "b1", "b2")) {
            idle(t, "f" + t.charAt(0));
        }
        assertEquals(List.of("form [b1, b2]"), plan(wanted(2, 1, RepairPolicy.STRANDED_ACCELERATORS), Set.of()));
    }

    @Test
    void prefersFabricDomainThatKeepsSpare() {
        for (String t : List.of("a1", "a2", "a3", "b1", "b2")) {
            idle(t, "f" + t.charAt(0));
        }
        assertEquals(List.of("form [a1, a2]"), plan(wanted(2, 1, RepairPolicy.GROUP_DOWNTIME), Set.of()));
    }

    @Test
    void replacesOnlyLostMember() {
        member("a1", "fa", "menu:7", 0, "a1", "a2");
        member("a2", "fa", "menu:7", 60_000, "a1", "a2");
        idle("a3", "fa");
        assertEquals(List.of("form [a1, a3]"), plan(wanted(2, 1, RepairPolicy.GROUP_DOWNTIME), Set.of()));
    }

    @Test
    void waitsWhileMemberIsBrieflySilent() {
        member("a1", "fa", "menu:7", 0, "a1", "a2");
        member("a2", "fa", "menu:7", 3_000, "a1", "a2");
        idle("a3", "fa");
        assertEquals(List.of(), plan(wanted(2, 1, RepairPolicy.GROUP_DOWNTIME), Set.of()));
    }

    @Test
    void rebuildPolicyDissolvesIncompleteGroup() {
        member("a1", "fa", "menu:7", 0, "a1", "a2");
        member("a2", "fa", "menu:7", 60_000, "a1", "a2");
        idle("a3", "fa");
        assertEquals(List.of("dissolve menu:7 [a1]"), plan(wanted(2, 1, RepairPolicy.REBUILD), Set.of()));
    }

    @Test
    void replacesSeveralLostMembersInOneStep() {
        member("a1", "fa", "menu:7", 0, "a1", "a2", "a3");
        member("a2", "fa", "menu:7", 60_000, "a1", "a2", "a3");
        member("a3", "fa", "menu:7", 60_000, "a1", "a2", "a3");
        idle("a4", "fa");
        idle("a5", "fa");
        assertEquals(List.of("form [a1, a4, a5]"), plan(wanted(3, 1, RepairPolicy.GROUP_DOWNTIME), Set.of()));
    }

    @Test
    void keepsOrReleasesSurvivorsByPolicy() {
        member("a1", "fa", "menu:7", 0, "a1", "a2");
        member("a2", "fa", "menu:7", 60_000, "a1", "a2");
        assertEquals(List.of(), plan(wanted(2, 1, RepairPolicy.GROUP_DOWNTIME), Set.of()));
        assertEquals(List.of("dissolve menu:7 [a1]"), plan(wanted(2, 1, RepairPolicy.STRANDED_ACCELERATORS), Set.of()));
    }

    @Test
    void doesNotRepairGroupWithPendingOrders() {
        member("a1", "fa", "menu:9", 0, "a1", "a2");
        idle("a2", "fa");
        idle("a3", "fa");
        ordered.put(new InstanceId("a2"), new GroupId("menu:9"));
        assertEquals(List.of(), plan(wanted(2, 1, RepairPolicy.GROUP_DOWNTIME), Set.of()));
    }

    @Test
    void drainsServingGroupBeforeDissolving() {
        member("a1", "fa", "menu:7", 0, "a1", "a2");
        member("a2", "fa", "menu:7", 0, "a1", "a2");
        assertEquals(List.of("drain menu:7"), plan(wanted(2, 0, RepairPolicy.GROUP_DOWNTIME), Set.of()));
        Set<GroupId> drained = Set.of(new GroupId("menu:7"));
        assertEquals(List.of("dissolve menu:7 [a1, a2]"), plan(wanted(2, 0, RepairPolicy.GROUP_DOWNTIME), drained));
    }

    @Test
    void updatesVersionOneGroupAtATime() {
        member("a1", "fa", "menu:7", 0, "a1");
        member("a2", "fa", "menu:8", 0, "a2");
        DesiredModelGroup newer = new DesiredModelGroup(
                MENU, 2, new ModelGroupSpec("m", "2", null, 1, 2, null, RepairPolicy.GROUP_DOWNTIME, 1), 2);
        assertEquals(List.of("drain menu:7"), plan(newer, Set.of()));
        assertEquals(List.of("form [a1]"), plan(newer, Set.of(new GroupId("menu:7"))));
    }

    @Test
    void limitsConcurrentWeightLoads() {
        idle("a1", "fa");
        idle("a2", "fa");
        idle("b1", "fb");
        idle("b2", "fb");
        DesiredModelGroup w = wanted(2, 2, RepairPolicy.GROUP_DOWNTIME);
        assertEquals(1, planner.plan(input(w, Set.of(), 2)).size());
        assertEquals(2, planner.plan(input(w, Set.of(), 4)).size());
        assertTrue(planner.plan(input(w, Set.of(), 1)).size() <= 1, "a group larger than the limit forms alone");
    }

    private List<String> plan(DesiredModelGroup desired, Set<GroupId> drained) {
        List<String> out = new ArrayList<>();
        for (GroupStep s : planner.plan(input(desired, drained, 0))) {
            if (s instanceof GroupStep.Form f) {
                out.add("form " + f.members());
            } else if (s instanceof GroupStep.Dissolve d) {
                out.add("dissolve " + d.group() + " " + d.members());
            } else if (s instanceof GroupStep.Drain d) {
                out.add("drain " + d.group());
            }
        }
        return out;
    }

    private GroupPlanInput input(DesiredModelGroup desired, Set<GroupId> drained, int maxLoads) {
        return new GroupPlanInput(NOW, targets, List.of(desired), ordered, drained, maxLoads);
    }

    private static DesiredModelGroup wanted(int size, int share, RepairPolicy policy) {
        return new DesiredModelGroup(MENU, 1, new ModelGroupSpec("m", "1", null, size, share, null, policy, 1), share);
    }

    private void idle(String name, String fabric) {
        targets.add(target(name, fabric, null, 0));
    }

    private void member(String name, String fabric, String group, long age, String... members) {
        List<InstanceId> ids = new ArrayList<>();
        for (String m : members) {
            ids.add(new InstanceId(m));
        }
        GroupMembership m = new GroupMembership(new GroupId(group), MENU, new FencingToken(7), ids, true);
        targets.add(target(name, fabric, m, age));
    }

    private static AnnouncedTarget target(String name, String fabric, GroupMembership m, long age) {
        Announcement a = new Announcement(
                new InstanceId(name),
                "boot",
                1,
                new FailureDomainId("d"),
                new FabricDomainId(fabric),
                4,
                new NetAddress("127.0.0.1", 1),
                true,
                null,
                m,
                FencingToken.NONE,
                m == null ? null : "m",
                m == null ? null : "1",
                List.of(),
                m == null ? null : "BOTH",
                TargetLoad.NONE,
                false);
        return new AnnouncedTarget(a, NOW - age);
    }
}
