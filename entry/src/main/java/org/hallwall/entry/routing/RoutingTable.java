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
package org.hallwall.entry.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.GroupView;
import org.hallwall.domain.GroupViews;
import org.hallwall.domain.TargetDirectory;

/** Routing table of the groups that this entry can use. Refreshed by the dispatch thread, readable from any thread. */
public final class RoutingTable {

    private static final double SLOW_FACTOR = 3;
    private static final int MAX_SLOW_DIVISOR = 3;
    private static final double SLOW_MARGIN_MILLIS = 20;
    private static final long SUSPECT_GRACE_MILLIS = 500;

    private final TargetDirectory directory;
    private final DomainTiming timing;
    private final Map<GroupId, GroupRoutingState> slots = new ConcurrentHashMap<>();
    private final Map<GroupId, Long> drainDeadlines = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param directory the announcements of targets
     * @param timing the timeouts of the failure domain
     */
    public RoutingTable(TargetDirectory directory, DomainTiming timing) {
        this.directory = directory;
        this.timing = timing;
    }

    /**
     * Marks groups as draining: they receive no new requests until the given time.
     *
     * @param groups the groups
     * @param until the end of draining, in milliseconds
     */
    public void drain(List<GroupId> groups, long until) {
        for (GroupId g : groups) {
            drainDeadlines.put(g, until);
        }
    }

    /**
     * Returns the number of runs in progress on each draining group.
     *
     * @param now the current time in milliseconds
     * @return the number of runs by group id
     */
    public Map<String, Integer> outstandingOnDraining(long now) {
        Map<String, Integer> out = new TreeMap<>();
        for (Map.Entry<GroupId, Long> e : drainDeadlines.entrySet()) {
            if (e.getValue() > now) {
                GroupRoutingState s = slots.get(e.getKey());
                out.put(e.getKey().value(), s == null ? 0 : s.outstanding());
            }
        }
        return out;
    }

    /**
     * Updates the table from the latest announcements.
     *
     * @param now the current time in milliseconds
     */
    public void refresh(long now) {
        drainDeadlines.values().removeIf(until -> until <= now);
        Map<GroupId, GroupView> views = GroupViews.of(directory.list());
        for (GroupView v : views.values()) {
            slots.computeIfAbsent(v.group(), g -> new GroupRoutingState(v))
                    .update(v, drainDeadlines.containsKey(v.group()));
        }
        for (GroupRoutingState s : slots.values()) {
            s.notifyAssignments(now, timing.announcementTtl() + SUSPECT_GRACE_MILLIS, timing.memberTimeout());
        }
        slots.values().removeIf(s -> !views.containsKey(s.group()) && s.outstanding() == 0);
        markSlow();
    }

    /**
     * Returns the groups of a model group to which new runs may be assigned.
     *
     * @param modelGroup the model group
     * @param now the current time in milliseconds
     * @return the groups
     */
    public List<GroupRoutingState> usableGroups(ModelGroupId modelGroup, long now) {
        List<GroupRoutingState> out = new ArrayList<>();
        for (GroupRoutingState s : slots.values()) {
            boolean matches = s.view().membership().modelGroup().equals(modelGroup);
            if (matches && s.isUsable(now, timing.announcementTtl())) {
                out.add(s);
            }
        }
        return out;
    }

    /**
     * Returns whether any group serves a model group.
     *
     * @param modelGroup the model group
     * @param now the current time in milliseconds
     * @return true if at least one group serves it
     */
    public boolean serves(ModelGroupId modelGroup, long now) {
        for (GroupRoutingState s : slots.values()) {
            boolean matches = s.view().membership().modelGroup().equals(modelGroup);
            if (matches && s.isServing(now, timing.announcementTtl())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the routing state of a group.
     *
     * @param group the group
     * @return the state, or null if the group is unknown
     */
    public GroupRoutingState get(GroupId group) {
        return slots.get(group);
    }

    /**
     * Returns the routing state of all groups.
     *
     * @return the states
     */
    public List<GroupRoutingState> all() {
        return new ArrayList<>(slots.values());
    }

    /** Marks groups as slow whose time to first token is far above the median; at most a third of each model group. */
    private void markSlow() {
        Map<ModelGroupId, List<GroupRoutingState>> byModel = new HashMap<>();
        for (GroupRoutingState s : slots.values()) {
            byModel.computeIfAbsent(s.view().membership().modelGroup(), m -> new ArrayList<>())
                    .add(s);
        }
        byModel.values().forEach(RoutingTable::markSlowGroups);
    }

    private static void markSlowGroups(List<GroupRoutingState> groups) {
        double[] times = groups.stream()
                .mapToDouble(GroupRoutingState::firstTokenMillis)
                .filter(t -> t > 0)
                .toArray();
        Arrays.sort(times);
        double median = times.length == 0 ? 0 : times[(times.length - 1) / 2];
        int maxSlow = (groups.size() + MAX_SLOW_DIVISOR - 1) / MAX_SLOW_DIVISOR;
        groups.sort((a, b) -> Double.compare(b.firstTokenMillis(), a.firstTokenMillis()));
        for (int i = 0; i < groups.size(); i++) {
            boolean outlier = groups.get(i).firstTokenMillis() > SLOW_FACTOR * median + SLOW_MARGIN_MILLIS;
            groups.get(i).markSlow(times.length > 1 && outlier && i < maxSlow);
        }
    }
}
