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
import java.util.Comparator;
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
import org.hallwall.serving.target.GroupMark;
import org.hallwall.serving.target.GroupState;

/**
 * Decides which engines form groups, and takes groups apart that lost a member. It neither does I/O nor reads a clock.
 *
 * <p>It believes only what engines announce. An engine is free for another group only if no head can still count on it: the
 * head of its last group has announced that it no longer serves, or the engine itself has announced that it has left.
 */
public final class GroupPlan {

    /** How long members may take to join when their hosts hold the model, besides the load itself, in milliseconds. */
    private static final long JOIN_MARGIN_MILLIS = 4_000;
    /** How long a closing head may finish its work before it is told to leave; the platform's bound is 10 s. */
    private static final long CLOSE_MILLIS = 9_000;
    /** The same for a group whose members are wanted for a better one, in milliseconds: most streams end, the rest move. */
    private static final long RETIRE_MILLIS = 2_000;
    /** Room for the counter below the term in an epoch. */
    private static final long EPOCHS_A_TERM = 1_000_000L;

    private final long term;
    private final Map<String, PlannedGroup> groups = new LinkedHashMap<>();
    private final Set<String> finished = new HashSet<>();
    private final Set<String> ended = new HashSet<>();
    private final Map<String, Long> closingSince = new HashMap<>();
    /** Groups whose heads were told to open; one that still announces that it is ready may be open already. */
    private final Set<String> toldToOpen = new HashSet<>();

    private final SpareWarmUp warmUp = new SpareWarmUp(this::nextEpoch);
    private final GroupFormation formation;
    private long counter;
    private List<GroupAction> actions = new ArrayList<>();

    /**
     * Creates a plan without groups.
     *
     * @param term the controller's term; epochs of a later term are higher
     * @param mechanisms those in use
     */
    public GroupPlan(long term, Mechanisms mechanisms) {
        this.term = term;
        this.formation = new GroupFormation(mechanisms, groups, this::nextEpoch, warmUp::joined);
    }

    /**
     * Takes one step.
     *
     * @param now the clock in milliseconds
     * @param spec what is known of the service's engines
     * @param streams the streams that want a slot, by model
     * @param engines all engines of the service
     * @return the orders that engines should have
     */
    public List<GroupAction> step(
            long now, EngineSpec spec, Map<String, Integer> streams, Map<InstanceId, Engine> engines) {
        actions = new ArrayList<>();
        adopt(now, spec, engines);
        for (PlannedGroup g : List.copyOf(groups.values())) {
            review(now, spec, g, engines);
        }
        leaveSilentHeads(engines);
        formation.decide(now, spec, streams, engines);
        formation.retire(spec, free(engines), engines);
        formation.form(now, spec, () -> free(engines));
        joinNewGroups(now, engines);
        free(engines).values().forEach(spares -> actions.addAll(warmUp.step(spec, spares, engines.values())));
        return actions;
    }

    /**
     * Lists the groups.
     *
     * @return the groups
     */
    Collection<PlannedGroup> groups() {
        return groups.values();
    }

    /**
     * Counts the groups that serve.
     *
     * @param engines all engines of the service
     * @return how many by model
     */
    public Map<String, Integer> open(Map<InstanceId, Engine> engines) {
        Map<String, Integer> out = new TreeMap<>();
        for (PlannedGroup g : groups.values()) {
            Engine head = engines.get(g.head());
            boolean open = head != null
                    && !head.lost()
                    && head.isIn(g.name(), g.epoch())
                    && head.record().group().state() == GroupState.OPEN;
            out.merge(g.model(), open ? 1 : 0, Integer::sum);
        }
        return out;
    }

    /**
     * Finds the members of a group.
     *
     * @param name the group's name
     * @return the members; empty if the group is not planned
     */
    public List<InstanceId> members(String name) {
        PlannedGroup g = groups.get(name);
        return g == null ? List.of() : g.members();
    }

    /**
     * Says whether an engine is a member of a group that has served and does not end.
     *
     * @param engine the engine
     * @return true if callers' streams may depend on it
     */
    boolean serves(InstanceId engine) {
        for (PlannedGroup g : groups.values()) {
            if (g.hasServed() && !g.isEnding() && g.members().contains(engine)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Lists the engines that are free for a new group or another model.
     *
     * @param engines all engines of the service
     * @return the free engines by fabric domain
     */
    public Map<String, List<Engine>> free(Map<InstanceId, Engine> engines) {
        Set<InstanceId> taken = new HashSet<>();
        groups.values().forEach(g -> taken.addAll(g.members()));
        Map<String, List<Engine>> out = new TreeMap<>();
        for (Engine e : engines.values()) {
            String domain = e.record().fabricDomain();
            if (domain != null && e.isUsable() && !taken.contains(e.id()) && isReleased(e, engines)) {
                out.computeIfAbsent(domain, d -> new ArrayList<>()).add(e);
            }
        }
        out.values().forEach(list -> list.sort(Comparator.comparing(Engine::id)));
        return out;
    }

    // --- groups that another controller has formed, or whose head is heard again

    private void adopt(long now, EngineSpec spec, Map<InstanceId, Engine> engines) {
        for (Engine e : engines.values()) {
            GroupMark m = e.record().group();
            boolean isHead = m != null && m.rank() == 0 && !e.lost();
            if (!isHead || groups.containsKey(m.name()) || finished.contains(m.name())) {
                continue;
            }
            List<InstanceId> members = membersOf(m, engines.values());
            EngineModel model =
                    e.record().model() == null ? null : spec.model(e.record().model());
            if (model != null && members.size() == model.size()) {
                PlannedGroup g = new PlannedGroup(
                        m.name(), m.epoch(), model.name(), e.record().fabricDomain(), members, now);
                groups.put(g.name(), g);
                if (m.state() == GroupState.READY) {
                    // the controller before may have told it to open a moment ago
                    toldToOpen.add(g.name());
                }
            } else if (holdsMembers(m)) {
                actions.add(
                        new GroupAction(e, new TargetOrder.Leave(m.name(), m.epoch()), "a group of unknown members"));
            }
        }
    }

    private static List<InstanceId> membersOf(GroupMark mark, Collection<Engine> engines) {
        Map<Integer, InstanceId> byRank = new TreeMap<>();
        for (Engine e : engines) {
            if (mark.sameGroup(e.record().group())) {
                byRank.put(e.record().group().rank(), e.id());
            }
        }
        return new ArrayList<>(byRank.values());
    }

    // --- groups of the plan

    private void review(long now, EngineSpec spec, PlannedGroup g, Map<InstanceId, Engine> engines) {
        Engine head = engines.get(g.head());
        if (head == null || head.lost()) {
            // not finished: a head that was only cut off may be heard again, still serving with its members
            groups.remove(g.name());
            closingSince.remove(g.name());
            return;
        }
        GroupMark mark = head.isIn(g.name(), g.epoch()) ? head.record().group() : null;
        GroupState state = mark == null ? null : mark.state();
        if (state == GroupState.OPEN) {
            g.serves();
        }
        if (state == GroupState.BROKEN || (g.hasServed() && (state == null || !state.hasJoined()))) {
            drop(g);
            return;
        }
        boolean holds = state != null && state.holdsMembers();
        if (hasLostMember(g, engines)) {
            breakUp(g, head, holds, "a member is lost");
        } else if (hasLeavingMember(g, engines)) {
            finish(now, g, head, holds, "a member leaves", CLOSE_MILLIS);
        } else if (g.isRetiring()) {
            finish(now, g, head, holds, "its members are wanted for a better group", RETIRE_MILLIS);
        } else if (!holds) {
            advance(now, spec, g, head, state, engines);
        }
    }

    /** A head that was told to open may do so late; it leaves before its members are let go. */
    private void breakUp(PlannedGroup g, Engine head, boolean holds, String reason) {
        boolean mayOpen = toldToOpen.contains(g.name()) && head.isIn(g.name(), g.epoch());
        if (holds || mayOpen) {
            actions.add(new GroupAction(head, new TargetOrder.Leave(g.name(), g.epoch()), reason));
        } else {
            drop(g);
        }
    }

    private void finish(long now, PlannedGroup g, Engine head, boolean holds, String reason, long mostMillis) {
        if (!holds) {
            breakUp(g, head, false, reason);
            return;
        }
        long since = closingSince.computeIfAbsent(g.name(), n -> now);
        g.close();
        if (now - since > mostMillis) {
            breakUp(g, head, true, reason + " and the work does not end");
        } else {
            actions.add(new GroupAction(head, new TargetOrder.Close(g.name(), g.epoch()), reason));
        }
    }

    private void advance(
            long now, EngineSpec spec, PlannedGroup g, Engine head, GroupState state, Map<InstanceId, Engine> engines) {
        boolean all = true;
        for (InstanceId id : g.members()) {
            Engine e = engines.get(id);
            GroupMark m = e.isIn(g.name(), g.epoch()) ? e.record().group() : null;
            if (m == null) {
                TargetOrder join = new TargetOrder.Join(g.name(), g.epoch(), g.model(), g.members());
                actions.add(new GroupAction(e, join, "forms a group"));
            }
            all &= m != null && m.state().hasJoined();
        }
        if (all && state == GroupState.READY && !g.isClosing()) {
            toldToOpen.add(g.name());
            actions.add(new GroupAction(head, new TargetOrder.Open(g.name(), g.epoch()), "all members are ready"));
        } else if (now - g.since() > joinLimit(spec, g)) {
            breakUp(g, head, false, "its members do not get ready");
        }
    }

    private static long joinLimit(EngineSpec spec, PlannedGroup g) {
        EngineModel m = spec.model(g.model());
        double warm = m == null ? 0 : m.warmSeconds();
        return JOIN_MARGIN_MILLIS + (long) (warm * 2_000);
    }

    private static boolean hasLostMember(PlannedGroup g, Map<InstanceId, Engine> engines) {
        for (InstanceId id : g.members()) {
            Engine e = engines.get(id);
            if (e == null || e.lost()) {
                return true;
            }
            if (g.hasServed() && !e.isIn(g.name(), g.epoch())) {
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

    /** Ends a group whose head has announced that it does not count on its members. */
    private void drop(PlannedGroup g) {
        groups.remove(g.name());
        closingSince.remove(g.name());
        toldToOpen.remove(g.name());
        finished.add(g.name());
        ended.add(g.name());
    }

    /** Says whether a head may count on its members, by what it announces and what it was told since. */
    private boolean holdsMembers(GroupMark head) {
        return head.state().holdsMembers() || head.state() == GroupState.READY && toldToOpen.contains(head.name());
    }

    // --- free engines

    private boolean isReleased(Engine e, Map<InstanceId, Engine> engines) {
        GroupMark m = e.record().group();
        if (m == null) {
            return true;
        }
        if (m.rank() == 0) {
            return !holdsMembers(m);
        }
        Engine head = headOf(m, engines.values());
        if (head != null && !head.lost()) {
            return !holdsMembers(head.record().group());
        }
        return head == null && ended.contains(m.name());
    }

    /** Members whose head cannot be asked leave it first: it may be alive, and it then breaks. */
    private void leaveSilentHeads(Map<InstanceId, Engine> engines) {
        Set<InstanceId> taken = new HashSet<>();
        groups.values().forEach(g -> taken.addAll(g.members()));
        for (Engine e : engines.values()) {
            GroupMark m = e.record().group();
            if (m == null || m.rank() == 0 || !e.isUsable() || taken.contains(e.id())) {
                continue;
            }
            Engine head = headOf(m, engines.values());
            if ((head == null && !ended.contains(m.name())) || (head != null && head.lost())) {
                TargetOrder leave = new TargetOrder.Leave(m.name(), m.epoch());
                actions.add(new GroupAction(e, leave, "its head is lost"));
            }
        }
    }

    private static Engine headOf(GroupMark mark, Collection<Engine> engines) {
        for (Engine e : engines) {
            GroupMark m = e.record().group();
            if (mark.sameGroup(m) && m.rank() == 0) {
                return e;
            }
        }
        return null;
    }

    /**
     * Gives the packing that groups are formed by.
     *
     * @return the packing of the last step
     */
    public Packing packing() {
        return formation.packing();
    }

    private void joinNewGroups(long now, Map<InstanceId, Engine> engines) {
        for (PlannedGroup g : groups.values()) {
            if (g.since() == now && !g.hasServed()) {
                joinAll(g, engines);
            }
        }
    }

    private void joinAll(PlannedGroup g, Map<InstanceId, Engine> engines) {
        TargetOrder join = new TargetOrder.Join(g.name(), g.epoch(), g.model(), g.members());
        for (InstanceId id : g.members()) {
            Engine e = engines.get(id);
            if (!e.isIn(g.name(), g.epoch())) {
                actions.add(new GroupAction(e, join, "forms a group"));
            }
        }
    }

    private long nextEpoch() {
        return term * EPOCHS_A_TERM + ++counter;
    }
}
