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
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;

/**
 * Decides which engines form groups, and dissolves groups that lost a member. It neither does I/O nor reads a clock.
 *
 * <p>Decisions rely only on announcements and reports of engines. An engine is free for another group only if its membership is
 * verified and no head can still use it: the head of its last group no longer serves, or the engine itself has left.
 */
public final class GroupPlan {

    /** The time that members have to join a group in addition to loads from their hosts, in milliseconds. */
    private static final long JOIN_MARGIN_MILLIS = 4_000;
    /** How long a closing head may drain before it is ordered to leave, in milliseconds; the platform's limit is 10 s. */
    private static final long CLOSE_TIMEOUT_MILLIS = 9_000;
    /** How long a head may drain when its members are needed for a better group, in milliseconds; remaining streams move. */
    private static final long RETIRE_TIMEOUT_MILLIS = 2_000;
    /** How long a new controller waits for the first reports before it forms groups, in milliseconds; longer than a query. */
    private static final long FIRST_REPORTS_MILLIS = 500;
    /** The number of epochs per term; the epoch is the term times this, plus a counter. */
    private static final long EPOCHS_PER_TERM = 1_000_000L;

    private final long term;
    private final Map<String, PlannedGroup> groups = new LinkedHashMap<>();
    private final Set<String> finishedGroups = new HashSet<>();
    private final Set<String> endedGroups = new HashSet<>();
    private final Map<String, Long> closingSince = new HashMap<>();
    /** Groups whose heads were ordered to open; a head that still announces READY may be open already. */
    private final Set<String> orderedToOpen = new HashSet<>();

    private final SpareWarmUp warmUp = new SpareWarmUp(this::nextEpoch);
    private final FreeEngines free;
    private final GroupFormation formation;
    private long epochCounter;
    private long firstStepAt = -1;
    private List<GroupAction> actions = new ArrayList<>();

    /**
     * Creates a plan without groups.
     *
     * @param term the controller's term; epochs of a later term are higher
     * @param mechanisms the enabled mechanisms
     */
    public GroupPlan(long term, Mechanisms mechanisms) {
        this.term = term;
        this.free = new FreeEngines(term * EPOCHS_PER_TERM, groups, endedGroups, orderedToOpen);
        this.formation = new GroupFormation(mechanisms, groups, this::nextEpoch, warmUp::recordAssigned);
    }

    /**
     * Updates the plan and returns the orders that it requires.
     *
     * @param now the current time in milliseconds
     * @param spec the parameters of the service's engines
     * @param streams the streams in progress or refused, by model
     * @param engines all engines of the service
     * @return the required orders
     */
    public List<GroupAction> step(
            long now, EngineSpec spec, Map<String, Integer> streams, Map<InstanceId, Engine> engines) {
        actions = new ArrayList<>();
        adoptGroups(now, spec, engines);
        leaveIncompleteGroups(engines);
        for (PlannedGroup g : List.copyOf(groups.values())) {
            updateGroup(now, spec, g, engines);
        }
        leaveLostHeads(engines);
        formation.updatePacking(now, spec, streams, engines);
        if (mayForm(now, engines)) {
            formation.retireGroups(spec, freeEngines(engines), engines);
            formation.formGroups(now, spec, () -> freeEngines(engines));
        }
        joinNewGroups(now, engines);
        freeEngines(engines).values().forEach(spares -> actions.addAll(warmUp.step(spec, spares, engines.values())));
        return actions;
    }

    /**
     * Returns the planned groups.
     *
     * @return the groups
     */
    Collection<PlannedGroup> groups() {
        return groups.values();
    }

    /**
     * Counts the open groups.
     *
     * @param engines all engines of the service
     * @return the number of open groups by model; zero for a model whose groups are all not open
     */
    public Map<String, Integer> openGroupCounts(Map<InstanceId, Engine> engines) {
        Map<String, Integer> out = new TreeMap<>();
        for (PlannedGroup g : groups.values()) {
            Engine head = engines.get(g.head());
            boolean open = head != null
                    && !head.lost()
                    && head.isMemberOf(g.name(), g.epoch())
                    && head.record().group().state() == GroupState.OPEN;
            out.merge(g.model(), open ? 1 : 0, Integer::sum);
        }
        return out;
    }

    /**
     * Returns the members of a group.
     *
     * @param name the group's name
     * @return the members; empty if the group is not planned
     */
    public List<InstanceId> members(String name) {
        PlannedGroup g = groups.get(name);
        return g == null ? List.of() : g.members();
    }

    /**
     * Returns whether an engine is a member of a group that has served and is not ending.
     *
     * @param engine the engine
     * @return true if streams may depend on it
     */
    boolean isInServingGroup(InstanceId engine) {
        for (PlannedGroup g : groups.values()) {
            if (g.hasServed() && !g.isEnding() && g.members().contains(engine)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the engines that are free for a new group or another model.
     *
     * @param engines all engines of the service
     * @return the free engines by fabric domain
     */
    public Map<String, List<Engine>> freeEngines(Map<InstanceId, Engine> engines) {
        return free.byDomain(engines);
    }

    /**
     * Returns the engines that are in no planned group. Their memberships are verified before they are used.
     *
     * @param engines all engines of the service
     * @return the engines that are not considered dead
     */
    List<Engine> unassignedEngines(Map<InstanceId, Engine> engines) {
        return free.unassigned(engines);
    }

    // --- groups of a previous controller, or whose head has recovered

    /** Returns the domain of a head's group; one of an unknown domain counts for no domain, as do cross-domain groups. */
    private static String domainOf(Engine head) {
        String domain = head.record().fabricDomain();
        return domain == null ? GroupFormation.CROSS_DOMAIN : domain;
    }

    private void adoptGroups(long now, EngineSpec spec, Map<InstanceId, Engine> engines) {
        for (Engine e : engines.values()) {
            GroupMembership m = e.record().group();
            boolean isHead = m != null && m.rank() == 0 && !e.lost();
            if (!isHead || groups.containsKey(m.name()) || finishedGroups.contains(m.name())) {
                continue;
            }
            List<InstanceId> members = FreeEngines.membersOf(m, engines.values());
            EngineModel model =
                    e.record().model() == null ? null : spec.model(e.record().model());
            if (model != null && members.size() == model.size()) {
                PlannedGroup g = new PlannedGroup(m.name(), m.epoch(), model.name(), domainOf(e), members, now);
                groups.put(g.name(), g);
                if (m.state() == GroupState.READY) {
                    // the previous controller may have ordered it to open
                    orderedToOpen.add(g.name());
                }
            }
        }
    }

    /** Orders heads whose members are unknown to leave, once no engine that may be one of them is left to report. */
    private void leaveIncompleteGroups(Map<InstanceId, Engine> engines) {
        if (!free.areReportsComplete(engines)) {
            return;
        }
        for (Engine e : engines.values()) {
            GroupMembership m = e.record().group();
            boolean isHead = m != null && m.rank() == 0 && !e.lost();
            if (!isHead || groups.containsKey(m.name()) || finishedGroups.contains(m.name())) {
                continue;
            }
            boolean hasMembers = FreeEngines.membersOf(m, engines.values()).size() > 1;
            if (free.mayUseMembers(m) || hasMembers && free.mayStillOpen(m)) {
                actions.add(new GroupAction(
                        e, new TargetOrder.Leave(m.name(), m.epoch()), "members of the group are unknown"));
            }
        }
    }

    /** Groups are not formed from some of the free engines while a new controller waits for the reports of the others. */
    private boolean mayForm(long now, Map<InstanceId, Engine> engines) {
        if (firstStepAt < 0) {
            firstStepAt = now;
        }
        return free.areReportsComplete(engines) || now - firstStepAt > FIRST_REPORTS_MILLIS;
    }

    /**
     * Removes a group that is being formed, since one of its members has accepted an order of another controller.
     *
     * @param member the member
     */
    void abandonFormation(InstanceId member) {
        for (PlannedGroup g : List.copyOf(groups.values())) {
            if (g.members().contains(member) && !g.hasServed() && !orderedToOpen.contains(g.name())) {
                removeGroup(g);
            }
        }
    }

    // --- groups of the plan

    private void updateGroup(long now, EngineSpec spec, PlannedGroup g, Map<InstanceId, Engine> engines) {
        Engine head = engines.get(g.head());
        if (head == null || head.lost()) {
            // not marked as finished: the head may only be partitioned and still serve with its members
            groups.remove(g.name());
            closingSince.remove(g.name());
            return;
        }
        GroupMembership membership =
                head.isMemberOf(g.name(), g.epoch()) ? head.record().group() : null;
        GroupState state = membership == null ? null : membership.state();
        if (state == GroupState.OPEN) {
            g.markServed();
        }
        if (state == GroupState.BROKEN || (g.hasServed() && (state == null || !state.hasJoined()))) {
            removeGroup(g);
            return;
        }
        boolean holdsMembers = state != null && state.reservesMembers();
        if (hasLostMember(g, engines)) {
            dissolve(g, head, holdsMembers, "a member is lost");
        } else if (hasLeavingMember(g, engines)) {
            drain(now, g, head, holdsMembers, "a member is leaving", CLOSE_TIMEOUT_MILLIS);
        } else if (g.isRetiring()) {
            drain(now, g, head, holdsMembers, "its members are needed for a better group", RETIRE_TIMEOUT_MILLIS);
        } else if (!holdsMembers) {
            advanceFormation(now, spec, g, head, state, engines);
        }
    }

    /** Dissolves a group. A head that may serve, or may still execute an order to open, leaves before the members are released. */
    private void dissolve(PlannedGroup g, Engine head, boolean holdsMembers, String reason) {
        boolean mayOpen = orderedToOpen.contains(g.name()) && head.isMemberOf(g.name(), g.epoch());
        if (holdsMembers || mayOpen) {
            actions.add(new GroupAction(head, new TargetOrder.Leave(g.name(), g.epoch()), reason));
        } else {
            removeGroup(g);
        }
    }

    private void drain(long now, PlannedGroup g, Engine head, boolean holdsMembers, String reason, long timeoutMillis) {
        if (!holdsMembers) {
            dissolve(g, head, false, reason);
            return;
        }
        long since = closingSince.computeIfAbsent(g.name(), n -> now);
        g.markClosing();
        if (now - since > timeoutMillis) {
            dissolve(g, head, true, reason + " and its work did not finish in time");
        } else {
            actions.add(new GroupAction(head, new TargetOrder.Close(g.name(), g.epoch()), reason));
        }
    }

    private void advanceFormation(
            long now, EngineSpec spec, PlannedGroup g, Engine head, GroupState state, Map<InstanceId, Engine> engines) {
        boolean allJoined = true;
        for (InstanceId id : g.members()) {
            Engine e = engines.get(id);
            GroupMembership m = e.isMemberOf(g.name(), g.epoch()) ? e.record().group() : null;
            if (m == null) {
                TargetOrder join = new TargetOrder.Join(g.name(), g.epoch(), g.model(), g.members());
                actions.add(new GroupAction(e, join, "forms a group"));
            }
            allJoined &= m != null && m.state().hasJoined();
        }
        if (allJoined && state == GroupState.READY && !g.isClosing()) {
            orderedToOpen.add(g.name());
            actions.add(new GroupAction(head, new TargetOrder.Open(g.name(), g.epoch()), "all members are ready"));
        } else if (now - g.createdAt() > joinTimeoutMillis(spec, g)) {
            dissolve(g, head, false, "its members did not become ready in time");
        }
    }

    private static long joinTimeoutMillis(EngineSpec spec, PlannedGroup g) {
        EngineModel m = spec.model(g.model());
        double warmSeconds = m == null ? 0 : m.hostLoadSeconds();
        return JOIN_MARGIN_MILLIS + (long) (warmSeconds * 2_000);
    }

    private static boolean hasLostMember(PlannedGroup g, Map<InstanceId, Engine> engines) {
        for (InstanceId id : g.members()) {
            Engine e = engines.get(id);
            if (e == null || e.lost()) {
                return true;
            }
            if (g.hasServed() && !e.isMemberOf(g.name(), g.epoch())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasLeavingMember(PlannedGroup g, Map<InstanceId, Engine> engines) {
        for (InstanceId id : g.members()) {
            if (!engines.get(id).record().isServing()) {
                return true;
            }
        }
        return false;
    }

    /** Removes a group whose head has announced that it does not use its members. */
    private void removeGroup(PlannedGroup g) {
        groups.remove(g.name());
        closingSince.remove(g.name());
        orderedToOpen.remove(g.name());
        finishedGroups.add(g.name());
        endedGroups.add(g.name());
    }

    // --- members of lost heads

    /** Orders members of a lost head to leave before they join elsewhere: the head may be alive, and its group then breaks. */
    private void leaveLostHeads(Map<InstanceId, Engine> engines) {
        if (!free.areReportsComplete(engines)) {
            // the head may be one of them
            return;
        }
        Set<InstanceId> assigned = free.assigned();
        for (Engine e : engines.values()) {
            GroupMembership m = e.record().group();
            if (m == null || m.rank() == 0 || !e.isUsable() || assigned.contains(e.id())) {
                continue;
            }
            Engine head = FreeEngines.headOf(m, engines.values());
            if ((head == null && !endedGroups.contains(m.name())) || (head != null && head.lost())) {
                TargetOrder leave = new TargetOrder.Leave(m.name(), m.epoch());
                actions.add(new GroupAction(e, leave, "its head is lost"));
            }
        }
    }

    /**
     * Returns the packing by which groups are formed.
     *
     * @return the packing of the last step
     */
    public Packing packing() {
        return formation.packing();
    }

    private void joinNewGroups(long now, Map<InstanceId, Engine> engines) {
        for (PlannedGroup g : groups.values()) {
            if (g.createdAt() == now && !g.hasServed()) {
                joinAll(g, engines);
            }
        }
    }

    private void joinAll(PlannedGroup g, Map<InstanceId, Engine> engines) {
        TargetOrder join = new TargetOrder.Join(g.name(), g.epoch(), g.model(), g.members());
        for (InstanceId id : g.members()) {
            Engine e = engines.get(id);
            if (!e.isMemberOf(g.name(), g.epoch())) {
                actions.add(new GroupAction(e, join, "forms a group"));
            }
        }
    }

    private long nextEpoch() {
        return term * EPOCHS_PER_TERM + ++epochCounter;
    }
}
