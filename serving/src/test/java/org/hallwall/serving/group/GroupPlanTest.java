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
package org.hallwall.serving.group;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests formation, opening, adoption and dissolution of groups. */
class GroupPlanTest {

    private static final EngineSpec SPEC =
            new EngineSpec(18, List.of(new EngineModel("m", 3, 1, 1, 16, 1.6)), 4.5, 6, 2.5, 300);

    private final Map<InstanceId, Engine> engines = new LinkedHashMap<>();
    private GroupPlan plan = new GroupPlan(1, Mechanisms.ALL);
    private long now = 10_000;

    private void engine(int n, GroupMembership membership, TargetRecord.Presence presence, boolean lost) {
        engine(n, "d0", membership, presence, lost);
    }

    private void engine(
            int n, String domain, GroupMembership membership, TargetRecord.Presence presence, boolean lost) {
        String model = membership == null ? null : "m";
        Engine e = EngineFixture.engine("i-" + n, domain, model, "m", membership, presence, lost);
        engines.put(e.id(), e);
    }

    private void engine(int n, GroupMembership membership) {
        engine(n, membership, TargetRecord.Presence.SERVING, false);
    }

    private List<GroupAction> step() {
        return plan.step(now, SPEC, Map.of(), engines);
    }

    private static <T> List<GroupAction> of(List<GroupAction> actions, Class<T> type) {
        return actions.stream().filter(a -> type.isInstance(a.order())).toList();
    }

    /** Forms an open group of engines 1 to 3. */
    private PlannedGroup openGroup() {
        for (int n = 1; n <= 3; n++) {
            engine(n, null);
        }
        step();
        PlannedGroup g = plan.groups().iterator().next();
        mark(g, GroupState.OPEN);
        step();
        return g;
    }

    private void mark(PlannedGroup g, GroupState head) {
        for (int rank = 0; rank < 3; rank++) {
            int n = Integer.parseInt(g.members().get(rank).value().substring(2));
            GroupState state = rank == 0 ? head : GroupState.READY;
            engine(n, new GroupMembership(g.name(), g.epoch(), rank, state));
        }
    }

    private int headNumber(PlannedGroup g) {
        return Integer.parseInt(g.head().value().substring(2));
    }

    private int memberNumber(PlannedGroup g) {
        return Integer.parseInt(g.members().get(1).value().substring(2));
    }

    private int freeCount() {
        return plan.freeEngines(engines).values().stream().mapToInt(List::size).sum();
    }

    /** A group that serves stays as it is, and other engines of the service are still assigned. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aMemberWithoutAFabricDomainDoesNotStopThePlan(int rank) {
        PlannedGroup g = openGroup();
        int n = Integer.parseInt(g.members().get(rank).value().substring(2));
        GroupState state = rank == 0 ? GroupState.OPEN : GroupState.READY;
        engine(n, null, new GroupMembership(g.name(), g.epoch(), rank, state), TargetRecord.Presence.SERVING, false);
        for (int i = 4; i <= 6; i++) {
            engine(i, null);
        }
        Assertions.assertEquals(3, of(step(), TargetOrder.Join.class).size());
        Assertions.assertTrue(plan.groups().contains(g) && !g.isEnding());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void adoptsAGroupWithAMemberWithoutAFabricDomain(int rank) {
        PlannedGroup g = openGroup();
        int n = Integer.parseInt(g.members().get(rank).value().substring(2));
        GroupState state = rank == 0 ? GroupState.OPEN : GroupState.READY;
        engine(n, null, new GroupMembership(g.name(), g.epoch(), rank, state), TargetRecord.Presence.SERVING, false);
        plan = new GroupPlan(2, Mechanisms.ALL);
        step();
        for (int i = 4; i <= 6; i++) {
            engine(i, null);
        }
        Assertions.assertEquals(3, of(step(), TargetOrder.Join.class).size());
        Assertions.assertTrue(plan.groups().stream().anyMatch(a -> a.name().equals(g.name()) && !a.isEnding()));
    }

    @Test
    void joinsAllMembersAndOpensWhenAllAreReady() {
        engine(1, null);
        engine(2, null);
        Assertions.assertTrue(step().isEmpty());
        engine(3, null);
        Assertions.assertEquals(3, of(step(), TargetOrder.Join.class).size());
        PlannedGroup g = plan.groups().iterator().next();
        mark(g, GroupState.READY);
        int last = memberNumber(g);
        engine(last, new GroupMembership(g.name(), g.epoch(), 1, GroupState.JOINING));
        Assertions.assertTrue(of(step(), TargetOrder.Open.class).isEmpty());
        mark(g, GroupState.READY);
        List<GroupAction> opens = of(step(), TargetOrder.Open.class);
        Assertions.assertEquals(g.head(), opens.get(0).target().id());
    }

    /** A late announcement names a group that the engine has left, or none although it has joined one. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void anEngineIsNotAssignedBeforeItsMembershipIsVerified(int unverified) {
        for (int n = 1; n <= 3; n++) {
            engine(n, null);
        }
        unverified(unverified);
        InstanceId id = new InstanceId("i-" + unverified);
        Assertions.assertTrue(step().stream().noneMatch(a -> a.target().id().equals(id)));
        Assertions.assertTrue(plan.groups().isEmpty());
        engine(unverified, null);
        Assertions.assertEquals(3, of(step(), TargetOrder.Join.class).size());
    }

    /** The head may have been opened by an order that the announced state does not reflect yet. */
    @Test
    void membersOfAHeadAreNotAssignedBeforeTheHeadIsVerified() {
        engine(1, new GroupMembership("g", 1, 0, GroupState.JOINING));
        engine(2, new GroupMembership("g", 1, 1, GroupState.READY));
        unverified(1);
        step();
        Assertions.assertEquals(0, freeCount());
        engine(1, new GroupMembership("g", 1, 0, GroupState.BROKEN));
        Assertions.assertEquals(2, freeCount());
    }

    /** An order to open from an earlier term may still be executed, so the head leaves before its members are assigned. */
    @Test
    void aReadyHeadOfAnEarlierTermLeavesBeforeItsMembersAreAssigned() {
        plan = new GroupPlan(2, Mechanisms.ALL);
        engine(1, new GroupMembership("g", 1, 0, GroupState.READY));
        engine(2, new GroupMembership("g", 1, 1, GroupState.READY));
        Assertions.assertEquals(1, of(step(), TargetOrder.Leave.class).size());
        Assertions.assertFalse(plan.freeEngines(engines).toString().contains("i-2"));
        engine(1, null);
        Assertions.assertTrue(of(step(), TargetOrder.Leave.class).stream()
                .allMatch(a -> a.target().id().equals(new InstanceId("i-2"))));
    }

    /** The members of a group, or its head, may be engines whose announcements are late. */
    @ParameterizedTest
    @CsvSource({"0, OPEN", "1, READY"})
    void noEngineLeavesAnIncompleteGroupWhileOthersAreUnverified(int rank, GroupState state) {
        engine(1, new GroupMembership("g", 1, rank, state));
        engine(2, null);
        unverified(2);
        Assertions.assertEquals(List.of(), of(step(), TargetOrder.Leave.class));
        engines.put(e2().id(), new Engine(e2().record(), null, false, false, VerificationState.UNANSWERED));
        Assertions.assertEquals(1, of(step(), TargetOrder.Leave.class).size());
    }

    private Engine e2() {
        return engines.get(new InstanceId("i-2"));
    }

    @Test
    void anAbandonedFormationReleasesItsMembers() {
        for (int n = 1; n <= 3; n++) {
            engine(n, null);
        }
        step();
        PlannedGroup g = plan.groups().iterator().next();
        plan.abandonFormation(g.members().get(1));
        Assertions.assertFalse(plan.groups().contains(g));
        Assertions.assertEquals(3, freeCount());
    }

    private void unverified(int n) {
        Engine e = engines.get(new InstanceId("i-" + n));
        engines.put(e.id(), new Engine(e.record(), e.lastModel(), e.lost(), e.silent(), VerificationState.PENDING));
    }

    @Test
    void theHeadLeavesAfterAMemberIsLostBeforeSurvivorsJoinElsewhere() {
        PlannedGroup g = openGroup();
        engine(9, null);
        int lost = memberNumber(g);
        engine(
                lost,
                new GroupMembership(g.name(), g.epoch(), 1, GroupState.READY),
                TargetRecord.Presence.SERVING,
                true);
        List<GroupAction> actions = step();
        Assertions.assertEquals(1, of(actions, TargetOrder.Leave.class).size());
        for (GroupAction join : of(actions, TargetOrder.Join.class)) {
            // only the spare may receive a join order, for its warm-up
            Assertions.assertEquals(new InstanceId("i-9"), join.target().id());
        }
        engine(headNumber(g), null);
        List<GroupAction> joins = of(step(), TargetOrder.Join.class);
        Assertions.assertEquals(3, joins.size());
        Assertions.assertTrue(((TargetOrder.Join) joins.get(0).order()).epoch() > g.epoch());
    }

    /** The head may be alive and open, so a member joins another group only after it has left, however long the head is silent. */
    @ParameterizedTest
    @ValueSource(longs = {0, 5_000, 60_000})
    void membersOfALostHeadLeaveBeforeTheyJoinElsewhere(long later) {
        PlannedGroup g = openGroup();
        GroupMembership membership = new GroupMembership(g.name(), g.epoch(), 0, GroupState.OPEN);
        engine(headNumber(g), membership, TargetRecord.Presence.SERVING, true);
        engine(9, null);
        step();
        now += later;
        List<GroupAction> actions = step();
        Assertions.assertEquals(2, of(actions, TargetOrder.Leave.class).size());
        for (GroupAction join : of(actions, TargetOrder.Join.class)) {
            Assertions.assertEquals(new InstanceId("i-9"), join.target().id());
        }
        for (InstanceId member : g.members().subList(1, 3)) {
            engine(Integer.parseInt(member.value().substring(2)), null);
        }
        Assertions.assertEquals(3, of(step(), TargetOrder.Join.class).size());
    }

    /** A head that was partitioned from the controller may still serve, so its group is adopted again. */
    @Test
    void aGroupWhoseHeadRecoversIsAdoptedAgain() {
        PlannedGroup g = openGroup();
        GroupMembership membership = new GroupMembership(g.name(), g.epoch(), 0, GroupState.OPEN);
        engine(headNumber(g), membership, TargetRecord.Presence.SERVING, true);
        step();
        Assertions.assertTrue(plan.groups().isEmpty());
        engine(headNumber(g), membership);
        Assertions.assertTrue(step().isEmpty());
        Assertions.assertEquals(g.members(), plan.members(g.name()));
        engine(memberNumber(g), null);
        Assertions.assertEquals(
                g.head(), of(step(), TargetOrder.Leave.class).get(0).target().id());
    }

    /**
     * A head that was ordered to open and wrongly considered dead may be open without having announced it. It must not join another
     * group before it has left or announces that it is not in the group.
     */
    @Test
    void aHeadThatWasOrderedToOpenLeavesBeforeItJoinsElsewhere() {
        for (int n = 1; n <= 3; n++) {
            engine(n, null);
        }
        step();
        PlannedGroup g = plan.groups().iterator().next();
        mark(g, GroupState.READY);
        Assertions.assertEquals(1, of(step(), TargetOrder.Open.class).size());
        GroupMembership ready = new GroupMembership(g.name(), g.epoch(), 0, GroupState.READY);
        engine(headNumber(g), ready, TargetRecord.Presence.SERVING, true);
        Assertions.assertEquals(2, of(step(), TargetOrder.Leave.class).size());
        g.members().subList(1, 3).forEach(m -> engine(Integer.parseInt(m.value().substring(2)), null));
        engine(headNumber(g), ready);
        List<GroupAction> actions = step();
        for (GroupAction join : of(actions, TargetOrder.Join.class)) {
            Assertions.assertNotEquals(g.head(), join.target().id());
        }
        Assertions.assertEquals(
                g.head(), of(actions, TargetOrder.Leave.class).get(0).target().id());
        engine(headNumber(g), null);
        Assertions.assertEquals(3, of(step(), TargetOrder.Join.class).size());
    }

    /** A recovered head whose members have left must not keep using them. */
    @Test
    void aHeadThatRecoversWithoutItsMembersLeaves() {
        PlannedGroup g = openGroup();
        GroupMembership membership = new GroupMembership(g.name(), g.epoch(), 0, GroupState.OPEN);
        engine(headNumber(g), membership, TargetRecord.Presence.SERVING, true);
        step();
        engine(memberNumber(g), null);
        engine(headNumber(g), membership);
        Assertions.assertEquals(
                g.head(), of(step(), TargetOrder.Leave.class).get(0).target().id());
    }

    @ParameterizedTest
    @EnumSource(
            value = TargetRecord.Presence.class,
            names = {"LEAVING", "GONE"})
    void aGroupWithALeavingMemberIsClosedFirst(TargetRecord.Presence presence) {
        PlannedGroup g = openGroup();
        engine(memberNumber(g), new GroupMembership(g.name(), g.epoch(), 1, GroupState.READY), presence, false);
        Assertions.assertEquals(1, of(step(), TargetOrder.Close.class).size());
        engine(headNumber(g), new GroupMembership(g.name(), g.epoch(), 0, GroupState.CLOSING));
        step();
        Assertions.assertEquals(0, freeCount());
        engine(headNumber(g), new GroupMembership(g.name(), g.epoch(), 0, GroupState.READY));
        step();
        Assertions.assertEquals(2, freeCount());
    }

    /** An order to open may be executed late, so the members are released only after the head has left. */
    @Test
    void aHeadThatWasOrderedToOpenLeavesBeforeItsMembersAreReleased() {
        for (int n = 1; n <= 3; n++) {
            engine(n, null);
        }
        step();
        PlannedGroup g = plan.groups().iterator().next();
        mark(g, GroupState.READY);
        Assertions.assertEquals(1, of(step(), TargetOrder.Open.class).size());
        engine(
                memberNumber(g),
                new GroupMembership(g.name(), g.epoch(), 1, GroupState.READY),
                TargetRecord.Presence.SERVING,
                true);
        Assertions.assertEquals(1, of(step(), TargetOrder.Leave.class).size());
        Assertions.assertEquals(0, freeCount());
        engine(headNumber(g), null);
        step();
        Assertions.assertEquals(2, freeCount());
    }

    @Test
    void aNewControllerAdoptsCompleteGroupsAndDissolvesOthers() {
        PlannedGroup g = openGroup();
        plan = new GroupPlan(2, Mechanisms.ALL);
        Assertions.assertTrue(step().isEmpty());
        Assertions.assertEquals(1, plan.groups().size());
        engines.remove(g.members().get(1));
        plan = new GroupPlan(3, Mechanisms.ALL);
        List<GroupAction> leaves = of(step(), TargetOrder.Leave.class);
        Assertions.assertEquals(g.head(), leaves.get(0).target().id());
        Assertions.assertEquals(0, freeCount());
    }

    @Test
    void aSpareWarmsUpInAGroupThatIsNeverOpened() {
        openGroup();
        engine(9, null);
        List<GroupAction> joins = of(step(), TargetOrder.Join.class);
        Assertions.assertEquals(1, joins.size());
        TargetOrder.Join warm = (TargetOrder.Join) joins.get(0).order();
        Assertions.assertEquals(new InstanceId("i-9"), joins.get(0).target().id());
        engine(9, new GroupMembership(warm.group(), warm.epoch(), 0, GroupState.READY));
        Assertions.assertTrue(step().isEmpty());
        Assertions.assertEquals(1, freeCount());
    }

    @Test
    void epochsRiseWithTheTerm() {
        PlannedGroup g = openGroup();
        engines.clear();
        plan = new GroupPlan(2, Mechanisms.ALL);
        PlannedGroup later = openGroup();
        Assertions.assertTrue(later.epoch() > g.epoch());
    }

    @Test
    void noEngineIsInTwoGroups() {
        for (int n = 1; n <= 20; n++) {
            engine(n, null);
        }
        step();
        List<InstanceId> all = new ArrayList<>();
        plan.groups().forEach(g -> all.addAll(g.members()));
        Assertions.assertEquals(18, all.size());
        Assertions.assertEquals(18, all.stream().distinct().count());
    }

    /** Cross-domain groups form only if too few groups are left, after a delay. */
    @ParameterizedTest
    @CsvSource({"0, 2000, 0", "1, 2000, 1", "1, 500, 0"})
    void crossDomainGroupsAreFormedWhenFewGroupsAreLeft(int lostGroups, long later, int formed) {
        PlannedGroup g = openGroup();
        for (int n = 11; n <= 13; n++) {
            engine(n, "e" + n, null, TargetRecord.Presence.SERVING, false);
        }
        step();
        if (lostGroups > 0) {
            g.members().forEach(engines::remove);
        }
        step();
        now += later;
        long before = plan.groups().size();
        step();
        Assertions.assertEquals(formed, plan.groups().size() - before);
    }

    /** A cross-domain group is retired when one of its domains has enough engines for a faster one. */
    @ParameterizedTest
    @CsvSource({"e1, 1", "e2, 0", "e3, 0"})
    void aCrossDomainGroupIsRetiredWhenADomainCanFormItsOwn(String domain, int retired) {
        PlannedGroup lost = openGroup();
        for (int n = 11; n <= 13; n++) {
            engine(n, n == 13 ? "e2" : "e1", null, TargetRecord.Presence.SERVING, false);
        }
        step();
        lost.members().forEach(engines::remove);
        step();
        now += 2_000;
        step();
        PlannedGroup slow = plan.groups().iterator().next();
        markAcross(slow, GroupState.OPEN);
        Assertions.assertTrue(step().isEmpty());
        engine(14, domain, null, TargetRecord.Presence.SERVING, false);
        step();
        Assertions.assertEquals(retired, of(step(), TargetOrder.Close.class).size());
        if (retired == 0) {
            return;
        }
        markAcross(slow, GroupState.CLOSING);
        now += 1_000;
        Assertions.assertTrue(of(step(), TargetOrder.Leave.class).isEmpty());
        now += 1_500;
        Assertions.assertEquals(1, of(step(), TargetOrder.Leave.class).size());
        slow.members().forEach(id -> engine(numberOf(id), domainOf(id), null, TargetRecord.Presence.SERVING, false));
        step();
        PlannedGroup near = plan.groups().iterator().next();
        near.members().forEach(id -> Assertions.assertEquals("e1", domainOf(id)));
    }

    private static int numberOf(InstanceId id) {
        return Integer.parseInt(id.value().substring(2));
    }

    private String domainOf(InstanceId id) {
        return engines.get(id).record().fabricDomain();
    }

    private void markAcross(PlannedGroup g, GroupState head) {
        for (int rank = 0; rank < 3; rank++) {
            InstanceId id = g.members().get(rank);
            GroupState state = rank == 0 ? head : GroupState.READY;
            GroupMembership membership = new GroupMembership(g.name(), g.epoch(), rank, state);
            engine(numberOf(id), domainOf(id), membership, TargetRecord.Presence.SERVING, false);
        }
    }
}
