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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;

/**
 * Decides which engines are free: their membership is verified, they are in no planned group, and no head can still use them.
 *
 * <p>It reads the collections of the plan that owns it.
 */
final class FreeEngines {

    private final long firstEpoch;
    private final Map<String, PlannedGroup> groups;
    private final Set<String> endedGroups;
    private final Set<String> orderedToOpen;

    /**
     * Creates a view of a plan.
     *
     * @param firstEpoch the first epoch of the plan's term
     * @param groups the planned groups
     * @param endedGroups the groups whose heads no longer use their members
     * @param orderedToOpen the groups whose heads were ordered to open
     */
    FreeEngines(long firstEpoch, Map<String, PlannedGroup> groups, Set<String> endedGroups, Set<String> orderedToOpen) {
        this.firstEpoch = firstEpoch;
        this.groups = groups;
        this.endedGroups = endedGroups;
        this.orderedToOpen = orderedToOpen;
    }

    /**
     * Returns the engines that are free for a new group or another model.
     *
     * @param engines all engines of the service
     * @return the free engines by fabric domain
     */
    Map<String, List<Engine>> byDomain(Map<InstanceId, Engine> engines) {
        Set<InstanceId> assigned = assigned();
        Map<String, List<Engine>> out = new TreeMap<>();
        for (Engine e : engines.values()) {
            String domain = e.record().fabricDomain();
            if (domain != null && e.isUsable() && !assigned.contains(e.id()) && isReleased(e, engines)) {
                out.computeIfAbsent(domain, d -> new ArrayList<>()).add(e);
            }
        }
        out.values().forEach(list -> list.sort(Comparator.comparing(Engine::id)));
        return out;
    }

    /**
     * Returns the engines that are in no planned group. Their memberships are verified before they are used.
     *
     * @param engines all engines of the service
     * @return the engines that are not considered dead
     */
    List<Engine> unassigned(Map<InstanceId, Engine> engines) {
        Set<InstanceId> assigned = assigned();
        List<Engine> out = new ArrayList<>();
        for (Engine e : engines.values()) {
            boolean mayBeMember =
                    e.record().fabricDomain() != null || e.record().group() != null;
            if (mayBeMember && !e.lost() && !e.record().isOver() && !assigned.contains(e.id())) {
                out.add(e);
            }
        }
        return out;
    }

    /** Returns whether all unassigned engines have reported their memberships, or do not answer. */
    boolean areReportsComplete(Map<InstanceId, Engine> engines) {
        return unassigned(engines).stream().allMatch(e -> e.verification().isDecided());
    }

    /** Returns the members of the planned groups. */
    Set<InstanceId> assigned() {
        Set<InstanceId> out = new HashSet<>();
        groups.values().forEach(g -> out.addAll(g.members()));
        return out;
    }

    private boolean isReleased(Engine e, Map<InstanceId, Engine> engines) {
        GroupMembership m = e.record().group();
        if (!e.isVerified()) {
            return false;
        }
        if (m == null) {
            return true;
        }
        if (m.rank() == 0) {
            return !mayUseMembers(m);
        }
        Engine head = headOf(m, engines.values());
        if (head != null && !head.lost()) {
            GroupMembership h = head.record().group();
            return head.isVerified() && !mayUseMembers(h) && !mayStillOpen(h);
        }
        return head == null && endedGroups.contains(m.name());
    }

    /** Returns whether a head may use its members, by its announcement and the orders sent since. */
    boolean mayUseMembers(GroupMembership head) {
        return head.state().reservesMembers()
                || head.state() == GroupState.READY && orderedToOpen.contains(head.name());
    }

    /** Returns whether the controller of an earlier term may have ordered a head to open, and the order may still be executed. */
    boolean mayStillOpen(GroupMembership head) {
        return head.state() == GroupState.READY && head.epoch() < firstEpoch;
    }

    /** Returns the head of a group, or null if it is unknown. */
    static Engine headOf(GroupMembership membership, Collection<Engine> engines) {
        for (Engine e : engines) {
            GroupMembership m = e.record().group();
            if (membership.isSameGroup(m) && m.rank() == 0) {
                return e;
            }
        }
        return null;
    }

    /** Returns the known members of a group in the order of their ranks. */
    static List<InstanceId> membersOf(GroupMembership membership, Collection<Engine> engines) {
        Map<Integer, InstanceId> byRank = new TreeMap<>();
        for (Engine e : engines) {
            if (membership.isSameGroup(e.record().group())) {
                byRank.put(e.record().group().rank(), e.id());
            }
        }
        return new ArrayList<>(byRank.values());
    }
}
