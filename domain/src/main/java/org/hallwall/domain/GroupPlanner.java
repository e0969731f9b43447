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
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;

/**
 * Decides which groups to form, repair, drain and dissolve.
 *
 * <p>It is a pure function of its input: the same input gives the same steps.
 */
public final class GroupPlanner {

    private final DomainTiming timing;

    /**
     * Creates a planner.
     *
     * @param timing the time limits
     */
    public GroupPlanner(DomainTiming timing) {
        this.timing = timing;
    }

    /**
     * Plans the next steps.
     *
     * @param input the state of the failure domain
     * @return the steps; empty if the failure domain has converged or no step is possible yet
     */
    public List<GroupStep> plan(GroupPlanInput input) {
        return new PlanningRound(input).run();
    }

    /** The state of one planning round. */
    private final class PlanningRound {

        private final GroupPlanInput input;
        private final Map<GroupId, GroupView> groups;
        private final Map<ModelGroupId, List<GroupView>> byModelGroup = new HashMap<>();
        private final IdleTargets idle;
        private final List<GroupStep> steps = new ArrayList<>();
        private final Set<GroupId> handledGroups = new HashSet<>();
        private int remainingLoads;

        PlanningRound(GroupPlanInput in) {
            this.input = in;
            List<AnnouncedTarget> alive = new ArrayList<>();
            for (AnnouncedTarget t : in.targets()) {
                if (t.isFresh(in.now(), timing.memberTimeout())) {
                    alive.add(t);
                }
            }
            this.groups = GroupViews.of(alive);
            this.idle = findIdle(alive);
            this.remainingLoads = remainingLoads(alive);
            for (GroupView g : groups.values()) {
                byModelGroup
                        .computeIfAbsent(g.membership().modelGroup(), m -> new ArrayList<>())
                        .add(g);
            }
        }

        List<GroupStep> run() {
            removeUndeclared();
            List<DesiredModelGroup> order = new ArrayList<>(input.wanted());
            order.sort(Comparator.comparingDouble(this::completeRatio));
            for (DesiredModelGroup w : order) {
                removeSurplus(w);
                repairGroups(w);
            }
            for (DesiredModelGroup w : order) {
                formMissing(w);
            }
            for (DesiredModelGroup w : order) {
                replaceOutdated(w);
            }
            return steps;
        }

        private IdleTargets findIdle(List<AnnouncedTarget> alive) {
            IdleTargets out = new IdleTargets();
            for (AnnouncedTarget t : alive) {
                boolean free = t.announcement().membership() == null
                        && !input.ordered().containsKey(t.instance());
                if (free
                        && t.isFresh(input.now(), timing.announcementTtl())
                        && !t.announcement().leaving()) {
                    out.add(t);
                }
            }
            return out;
        }

        private int remainingLoads(List<AnnouncedTarget> alive) {
            if (input.maxLoads() == 0) {
                return Integer.MAX_VALUE;
            }
            int loading = 0;
            for (AnnouncedTarget t : alive) {
                boolean joins = t.announcement().membership() != null
                        && !t.announcement().membership().loaded();
                if (joins || input.ordered().containsKey(t.instance())) {
                    loading++;
                }
            }
            return Math.max(0, input.maxLoads() - loading);
        }

        private double completeRatio(DesiredModelGroup w) {
            int complete = 0;
            for (GroupView g : groupsOf(w)) {
                complete += g.isComplete(input.now(), timing.announcementTtl()) ? 1 : 0;
            }
            return w.share() == 0 ? 1 : (double) complete / w.share();
        }

        private List<GroupView> groupsOf(DesiredModelGroup w) {
            return byModelGroup.getOrDefault(w.modelGroup(), List.of());
        }

        /** Returns true if every member either announces the group or has a pending order to join it. */
        private boolean isIntactOrForming(GroupView g) {
            for (InstanceId m : g.membership().members()) {
                boolean joining = g.group().equals(input.ordered().get(m));
                if (!g.isPresent(m) && !joining) {
                    return false;
                }
            }
            return true;
        }

        private boolean isUsable(GroupView g) {
            return isIntactOrForming(g) && !g.leaving() && !handledGroups.contains(g.group());
        }

        // --- undeclared and surplus groups

        private void removeUndeclared() {
            Set<ModelGroupId> wanted = new HashSet<>();
            for (DesiredModelGroup w : input.wanted()) {
                wanted.add(w.modelGroup());
            }
            for (GroupView g : groups.values()) {
                if (!wanted.contains(g.membership().modelGroup())) {
                    drainThenDissolve(g);
                }
            }
        }

        private void removeSurplus(DesiredModelGroup w) {
            List<GroupView> usable = new ArrayList<>();
            for (GroupView g : groupsOf(w)) {
                if (isUsable(g)) {
                    usable.add(g);
                }
            }
            usable.sort(Comparator.comparing((GroupView g) -> g.matchesSpec(w.spec()))
                    .thenComparing(GroupView::loaded)
                    .thenComparing(GroupView::group));
            int surplus = usable.size() - w.share();
            for (int i = 0; i < surplus; i++) {
                drainThenDissolve(usable.get(i));
            }
        }

        private void drainThenDissolve(GroupView g) {
            handledGroups.add(g.group());
            if (!isIntactOrForming(g) || input.drained().contains(g.group())) {
                dissolve(g);
            } else {
                steps.add(new GroupStep.Drain(g.group()));
            }
        }

        private void dissolve(GroupView g) {
            List<InstanceId> members = new ArrayList<>();
            for (AnnouncedTarget t : g.present()) {
                if (!input.ordered().containsKey(t.instance())) {
                    members.add(t.instance());
                }
            }
            if (!members.isEmpty()) {
                steps.add(new GroupStep.Dissolve(g.group(), members));
            }
        }

        // --- repair

        private void repairGroups(DesiredModelGroup w) {
            int usable = 0;
            for (GroupView g : groupsOf(w)) {
                usable += isUsable(g) ? 1 : 0;
            }
            for (GroupView g : groupsOf(w)) {
                if (handledGroups.contains(g.group()) || isUsable(g) || hasPendingOrder(g) || isMemberReassigned(g)) {
                    continue;
                }
                if (g.leaving() && isIntactOrForming(g) && !input.drained().contains(g.group())) {
                    steps.add(new GroupStep.Drain(g.group()));
                    handledGroups.add(g.group());
                } else if (usable >= w.share()) {
                    handledGroups.add(g.group());
                    dissolve(g);
                } else {
                    usable += repairGroup(w, g) ? 1 : 0;
                }
            }
        }

        /** Returns true if a member of the group was assigned to another group in this round. */
        private boolean isMemberReassigned(GroupView g) {
            for (GroupStep s : steps) {
                if (s instanceof GroupStep.Form f && f.members().stream().anyMatch(g::isPresent)) {
                    return true;
                }
            }
            return false;
        }

        /** Returns true if a member has a pending order, which it must confirm before the group is changed. */
        private boolean hasPendingOrder(GroupView g) {
            for (AnnouncedTarget t : g.present()) {
                if (input.ordered().containsKey(t.instance())) {
                    return true;
                }
            }
            return false;
        }

        private boolean repairGroup(DesiredModelGroup w, GroupView g) {
            handledGroups.add(g.group());
            List<AnnouncedTarget> members = survivors(g);
            int missing = w.spec().targetsPerReplica() - members.size();
            if (w.spec().repairPolicy().replacesMembers() && missing >= 0 && !members.isEmpty()) {
                List<AnnouncedTarget> spares = findReplacements(w, g, missing);
                if (spares != null && reserveLoads(members, spares, w)) {
                    idle.remove(spares);
                    members.addAll(spares);
                    form(w, members);
                    return true;
                }
                boolean elsewhere = idle.selectFabric(w.spec()) != null;
                if (!w.spec().repairPolicy().mergesGroups() && !elsewhere) {
                    return false;
                }
            }
            dissolve(g);
            return false;
        }

        /** Finds replacements among idle targets or, if there are too few, members of other incomplete groups. */
        private List<AnnouncedTarget> findReplacements(DesiredModelGroup w, GroupView g, int missing) {
            List<AnnouncedTarget> spares = idle.selectFromFabric(g.fabricDomain(), missing, w.spec());
            if (spares != null) {
                return spares;
            }
            List<AnnouncedTarget> found = idle.inFabric(g.fabricDomain());
            for (GroupView other : groupsOf(w)) {
                boolean broken = !handledGroups.contains(other.group()) && !isUsable(other) && !hasPendingOrder(other);
                if (broken && !isIntactOrForming(other) && other.fabricDomain().equals(g.fabricDomain())) {
                    found.addAll(survivors(other));
                }
            }
            return found.size() < missing ? null : new ArrayList<>(found.subList(0, missing));
        }

        private List<AnnouncedTarget> survivors(GroupView g) {
            List<AnnouncedTarget> out = new ArrayList<>();
            for (AnnouncedTarget t : g.present()) {
                if (!t.announcement().leaving() && t.isFresh(input.now(), timing.announcementTtl())) {
                    out.add(t);
                }
            }
            return out;
        }

        // --- new groups

        private void formMissing(DesiredModelGroup w) {
            int usable = 0;
            for (GroupView g : groupsOf(w)) {
                usable += isUsable(g) ? 1 : 0;
            }
            usable += countFormed(w) + countUnannounced(w);
            while (usable < w.share()) {
                List<AnnouncedTarget> members = idle.selectGroup(w.spec());
                if (members == null || !reserveLoads(List.of(), members, w)) {
                    return;
                }
                idle.remove(members);
                form(w, members);
                usable++;
            }
        }

        /** Counts the groups that were ordered and that no member announces yet. */
        private int countUnannounced(DesiredModelGroup w) {
            Set<GroupId> unannounced = new HashSet<>();
            for (GroupId g : input.ordered().values()) {
                if (!groups.containsKey(g) && GroupNames.isOf(g, w.modelGroup())) {
                    unannounced.add(g);
                }
            }
            return unannounced.size();
        }

        private int countFormed(DesiredModelGroup w) {
            int n = 0;
            for (GroupStep s : steps) {
                n += s instanceof GroupStep.Form f && f.wanted() == w ? 1 : 0;
            }
            return n;
        }

        // --- version changes

        private void replaceOutdated(DesiredModelGroup w) {
            int unavailable = w.share();
            List<GroupView> outdated = new ArrayList<>();
            for (GroupView g : groupsOf(w)) {
                if (!isUsable(g)) {
                    continue;
                }
                boolean complete = g.isComplete(input.now(), timing.announcementTtl());
                unavailable -= complete && !input.drained().contains(g.group()) ? 1 : 0;
                if (complete && !g.matchesSpec(w.spec())) {
                    outdated.add(g);
                }
            }
            for (GroupView g : outdated) {
                boolean drained = input.drained().contains(g.group());
                if (drained) {
                    reformOrDissolve(w, g);
                } else if (unavailable < w.spec().maxUnavailable()) {
                    steps.add(new GroupStep.Drain(g.group()));
                    unavailable++;
                }
            }
        }

        private void reformOrDissolve(DesiredModelGroup w, GroupView g) {
            handledGroups.add(g.group());
            if (g.present().size() != w.spec().targetsPerReplica()) {
                dissolve(g);
            } else if (reserveLoads(List.of(), g.present(), w)) {
                form(w, g.present());
            } else {
                steps.add(new GroupStep.Drain(g.group()));
            }
        }

        private boolean reserveLoads(List<AnnouncedTarget> kept, List<AnnouncedTarget> added, DesiredModelGroup w) {
            int loads = 0;
            for (AnnouncedTarget t : kept) {
                loads += IdleTargets.hasWeights(t, w.spec()) ? 0 : 1;
            }
            for (AnnouncedTarget t : added) {
                loads += IdleTargets.hasWeights(t, w.spec()) ? 0 : 1;
            }
            boolean allowed =
                    loads <= remainingLoads || (loads > input.maxLoads() && remainingLoads == input.maxLoads());
            if (allowed) {
                remainingLoads = Math.max(0, remainingLoads - loads);
            }
            return allowed;
        }

        private void form(DesiredModelGroup w, List<AnnouncedTarget> members) {
            steps.add(new GroupStep.Form(
                    w, members.stream().map(AnnouncedTarget::instance).toList()));
        }
    }
}
