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

/** The groups that this entry may route to. The dispatch thread refreshes it; any thread reads. */
public final class GroupTable {

    private static final double SLOW_FACTOR = 3;
    private static final int SLOW_SHARE = 3;
    private static final double NOISE_MILLIS = 20;
    private static final long SUSPECT_GRACE_MILLIS = 500;

    private final TargetDirectory directory;
    private final DomainTiming timing;
    private final Map<GroupId, GroupSlot> slots = new ConcurrentHashMap<>();
    private final Map<GroupId, Long> drainingUntil = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param directory what targets announce
     * @param timing the time limits
     */
    public GroupTable(TargetDirectory directory, DomainTiming timing) {
        this.directory = directory;
        this.timing = timing;
    }

    /**
     * Stops new work for groups for a while.
     *
     * @param groups the groups
     * @param until the clock until which they get none
     */
    public void drain(List<GroupId> groups, long until) {
        for (GroupId g : groups) {
            drainingUntil.put(g, until);
        }
    }

    /**
     * Counts the runs in progress on the draining groups.
     *
     * @param now the clock
     * @return how many on each
     */
    public Map<String, Integer> outstandingOnDraining(long now) {
        Map<String, Integer> out = new TreeMap<>();
        for (Map.Entry<GroupId, Long> e : drainingUntil.entrySet()) {
            if (e.getValue() > now) {
                GroupSlot s = slots.get(e.getKey());
                out.put(e.getKey().value(), s == null ? 0 : s.outstanding());
            }
        }
        return out;
    }

    /**
     * Takes in the latest announcements.
     *
     * @param now the clock
     */
    public void refresh(long now) {
        drainingUntil.values().removeIf(until -> until <= now);
        Map<GroupId, GroupView> views = GroupViews.of(directory.list());
        for (GroupView v : views.values()) {
            slots.computeIfAbsent(v.group(), g -> new GroupSlot(v)).update(v, drainingUntil.containsKey(v.group()));
        }
        for (GroupSlot s : slots.values()) {
            s.tellRuns(now, timing.announceLease() + SUSPECT_GRACE_MILLIS, timing.deadAfter());
        }
        slots.values().removeIf(s -> !views.containsKey(s.group()) && s.outstanding() == 0);
        markSlow();
    }

    /**
     * Lists the groups that may be given a run.
     *
     * @param modelGroup the model group
     * @param now the clock
     * @return the groups
     */
    public List<GroupSlot> usable(ModelGroupId modelGroup, long now) {
        List<GroupSlot> out = new ArrayList<>();
        for (GroupSlot s : slots.values()) {
            boolean mine = s.view().membership().modelGroup().equals(modelGroup);
            if (mine && s.isUsable(now, timing.announceLease())) {
                out.add(s);
            }
        }
        return out;
    }

    /**
     * Says whether any group of a model group serves.
     *
     * @param modelGroup the model group
     * @param now the clock
     * @return true if one does
     */
    public boolean serves(ModelGroupId modelGroup, long now) {
        for (GroupSlot s : slots.values()) {
            boolean mine = s.view().membership().modelGroup().equals(modelGroup);
            if (mine && s.isServing(now, timing.announceLease())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Finds the slot of a group.
     *
     * @param group the group
     * @return the slot; null if the group is not known
     */
    public GroupSlot get(GroupId group) {
        return slots.get(group);
    }

    /**
     * Lists all slots.
     *
     * @return the slots
     */
    public List<GroupSlot> all() {
        return new ArrayList<>(slots.values());
    }

    /** Marks the groups that are much slower than the median, a third of them at most. */
    private void markSlow() {
        Map<ModelGroupId, List<GroupSlot>> byModel = new HashMap<>();
        for (GroupSlot s : slots.values()) {
            byModel.computeIfAbsent(s.view().membership().modelGroup(), m -> new ArrayList<>())
                    .add(s);
        }
        byModel.values().forEach(GroupTable::markSlowOf);
    }

    private static void markSlowOf(List<GroupSlot> groups) {
        double[] times = groups.stream()
                .mapToDouble(GroupSlot::firstTokenMillis)
                .filter(t -> t > 0)
                .toArray();
        Arrays.sort(times);
        double median = times.length == 0 ? 0 : times[(times.length - 1) / 2];
        int most = (groups.size() + SLOW_SHARE - 1) / SLOW_SHARE;
        groups.sort((a, b) -> Double.compare(b.firstTokenMillis(), a.firstTokenMillis()));
        for (int i = 0; i < groups.size(); i++) {
            boolean far = groups.get(i).firstTokenMillis() > SLOW_FACTOR * median + NOISE_MILLIS;
            groups.get(i).markSlow(times.length > 1 && far && i < most);
        }
    }
}
