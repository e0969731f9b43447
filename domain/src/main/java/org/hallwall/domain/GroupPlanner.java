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
     * @param input what to decide from
     * @return the steps; empty if the failure domain has converged or must wait
     */
    public List<GroupStep> plan(GroupPlanInput input) {
        return new Round(input).run();
    }

    /** The state of one planning round. */
    private final class Round {

        private final GroupPlanInput in;
        private final Map<GroupId, GroupView> groups;
        private final Map<ModelGroupId, List<GroupView>> byModelGroup = new HashMap<>();
        private final IdleTargets idle;
        private final List<GroupStep> steps = new ArrayList<>();
        private final Set<GroupId> taken = new HashSet<>();
        private int loadsLeft;

        Round(GroupPlanInput in) {
            this.in = in;
            List<KnownTarget> alive = new ArrayList<>();
            for (KnownTarget t : in.targets()) {
                if (t.isFresh(in.now(), timing.deadAfter())) {
                    alive.add(t);
                }
            }
            this.groups = GroupViews.of(alive);
            this.idle = idleOf(alive);
            this.loadsLeft = loadsLeft(alive);
            for (GroupView g : groups.values()) {
                byModelGroup
                        .computeIfAbsent(g.membership().modelGroup(), m -> new ArrayList<>())
                        .add(g);
            }
        }

        List<GroupStep> run() {
            dropUnwanted();
            List<WantedGroup> order = new ArrayList<>(in.wanted());
            order.sort(Comparator.comparingDouble(this::servingRatio));
            for (WantedGroup w : order) {
                dropSurplus(w);
                repair(w);
            }
            for (WantedGroup w : order) {
                formMissing(w);
            }
            for (WantedGroup w : order) {
                replaceOutdated(w);
            }
            return steps;
        }

        private IdleTargets idleOf(List<KnownTarget> alive) {
            IdleTargets out = new IdleTargets();
            for (KnownTarget t : alive) {
                boolean free =
                        t.announcement().membership() == null && !in.ordered().containsKey(t.instance());
                if (free
                        && t.isFresh(in.now(), timing.announceLease())
                        && !t.announcement().leaving()) {
                    out.add(t);
                }
            }
            return out;
        }

        private int loadsLeft(List<KnownTarget> alive) {
            if (in.maxLoads() == 0) {
                return Integer.MAX_VALUE;
            }
            int loading = 0;
            for (KnownTarget t : alive) {
                boolean joins = t.announcement().membership() != null
                        && !t.announcement().membership().loaded();
                if (joins || in.ordered().containsKey(t.instance())) {
                    loading++;
                }
            }
            return Math.max(0, in.maxLoads() - loading);
        }

        private double servingRatio(WantedGroup w) {
            int complete = 0;
            for (GroupView g : of(w)) {
                complete += g.isComplete(in.now(), timing.announceLease()) ? 1 : 0;
            }
            return w.share() == 0 ? 1 : (double) complete / w.share();
        }

        private List<GroupView> of(WantedGroup w) {
            return byModelGroup.getOrDefault(w.modelGroup(), List.of());
        }

        /** A group whose missing members were only just ordered is forming and not broken. */
        private boolean isStanding(GroupView g) {
            for (InstanceId m : g.membership().members()) {
                boolean joining = g.group().equals(in.ordered().get(m));
                if (!g.hasPresent(m) && !joining) {
                    return false;
                }
            }
            return true;
        }

        private boolean isUsable(GroupView g) {
            return isStanding(g) && !g.leaving() && !taken.contains(g.group());
        }

        // --- groups that nobody wants

        private void dropUnwanted() {
            Set<ModelGroupId> wanted = new HashSet<>();
            for (WantedGroup w : in.wanted()) {
                wanted.add(w.modelGroup());
            }
            for (GroupView g : groups.values()) {
                if (!wanted.contains(g.membership().modelGroup())) {
                    drainThenDissolve(g);
                }
            }
        }

        private void dropSurplus(WantedGroup w) {
            List<GroupView> standing = new ArrayList<>();
            for (GroupView g : of(w)) {
                if (isUsable(g)) {
                    standing.add(g);
                }
            }
            standing.sort(Comparator.comparing((GroupView g) -> g.meets(w.spec()))
                    .thenComparing(GroupView::loaded)
                    .thenComparing(GroupView::group));
            int surplus = standing.size() - w.share();
            for (int i = 0; i < surplus; i++) {
                drainThenDissolve(standing.get(i));
            }
        }

        private void drainThenDissolve(GroupView g) {
            taken.add(g.group());
            if (!isStanding(g) || in.drained().contains(g.group())) {
                dissolve(g);
            } else {
                steps.add(new GroupStep.Drain(g.group()));
            }
        }

        private void dissolve(GroupView g) {
            List<InstanceId> members = new ArrayList<>();
            for (KnownTarget t : g.present()) {
                if (!in.ordered().containsKey(t.instance())) {
                    members.add(t.instance());
                }
            }
            if (!members.isEmpty()) {
                steps.add(new GroupStep.Dissolve(g.group(), members));
            }
        }

        // --- repair

        private void repair(WantedGroup w) {
            int standing = 0;
            for (GroupView g : of(w)) {
                standing += isUsable(g) ? 1 : 0;
            }
            for (GroupView g : of(w)) {
                if (taken.contains(g.group()) || isUsable(g) || isBusy(g) || isRobbed(g)) {
                    continue;
                }
                if (g.leaving() && isStanding(g) && !in.drained().contains(g.group())) {
                    steps.add(new GroupStep.Drain(g.group()));
                    taken.add(g.group());
                } else if (standing >= w.share()) {
                    taken.add(g.group());
                    dissolve(g);
                } else {
                    standing += repairOne(w, g) ? 1 : 0;
                }
            }
        }

        /** A survivor of the group was given to another one in this round. */
        private boolean isRobbed(GroupView g) {
            for (GroupStep s : steps) {
                if (s instanceof GroupStep.Form f && f.members().stream().anyMatch(g::hasPresent)) {
                    return true;
                }
            }
            return false;
        }

        /** Members that were ordered elsewhere must first announce where they are. */
        private boolean isBusy(GroupView g) {
            for (KnownTarget t : g.present()) {
                if (in.ordered().containsKey(t.instance())) {
                    return true;
                }
            }
            return false;
        }

        private boolean repairOne(WantedGroup w, GroupView g) {
            taken.add(g.group());
            List<KnownTarget> members = survivors(g);
            int missing = w.spec().targetsPerReplica() - members.size();
            if (w.spec().repairPolicy().replacesMembers() && missing >= 0 && !members.isEmpty()) {
                List<KnownTarget> spares = sparesFor(w, g, missing);
                if (spares != null && mayLoad(members, spares, w)) {
                    idle.remove(spares);
                    members.addAll(spares);
                    form(w, members);
                    return true;
                }
                boolean elsewhere = idle.fabricFor(w.spec()) != null;
                if (!w.spec().repairPolicy().merges() && !elsewhere) {
                    return false;
                }
            }
            dissolve(g);
            return false;
        }

        /** Idle targets first; if they are too few, the survivors of another broken group that cannot be repaired. */
        private List<KnownTarget> sparesFor(WantedGroup w, GroupView g, int missing) {
            List<KnownTarget> spares = idle.fromFabric(g.fabricDomain(), missing, w.spec());
            if (spares != null) {
                return spares;
            }
            List<KnownTarget> found = idle.allOf(g.fabricDomain());
            for (GroupView other : of(w)) {
                boolean broken = !taken.contains(other.group()) && !isUsable(other) && !isBusy(other);
                if (broken && !isStanding(other) && other.fabricDomain().equals(g.fabricDomain())) {
                    found.addAll(survivors(other));
                }
            }
            return found.size() < missing ? null : new ArrayList<>(found.subList(0, missing));
        }

        private List<KnownTarget> survivors(GroupView g) {
            List<KnownTarget> out = new ArrayList<>();
            for (KnownTarget t : g.present()) {
                if (!t.announcement().leaving() && t.isFresh(in.now(), timing.announceLease())) {
                    out.add(t);
                }
            }
            return out;
        }

        // --- new groups

        private void formMissing(WantedGroup w) {
            int standing = 0;
            for (GroupView g : of(w)) {
                standing += isUsable(g) ? 1 : 0;
            }
            standing += formedNow(w) + orderedOnly(w);
            while (standing < w.share()) {
                List<KnownTarget> members = idle.groupFor(w.spec());
                if (members == null || !mayLoad(List.of(), members, w)) {
                    return;
                }
                idle.remove(members);
                form(w, members);
                standing++;
            }
        }

        /** Groups that were ordered and that no member announces yet. */
        private int orderedOnly(WantedGroup w) {
            Set<GroupId> fresh = new HashSet<>();
            for (GroupId g : in.ordered().values()) {
                if (!groups.containsKey(g) && GroupNames.isOf(g, w.modelGroup())) {
                    fresh.add(g);
                }
            }
            return fresh.size();
        }

        private int formedNow(WantedGroup w) {
            int n = 0;
            for (GroupStep s : steps) {
                n += s instanceof GroupStep.Form f && f.wanted() == w ? 1 : 0;
            }
            return n;
        }

        // --- changes of version

        private void replaceOutdated(WantedGroup w) {
            int unavailable = w.share();
            List<GroupView> outdated = new ArrayList<>();
            for (GroupView g : of(w)) {
                if (!isUsable(g)) {
                    continue;
                }
                boolean complete = g.isComplete(in.now(), timing.announceLease());
                unavailable -= complete && !in.drained().contains(g.group()) ? 1 : 0;
                if (complete && !g.meets(w.spec())) {
                    outdated.add(g);
                }
            }
            for (GroupView g : outdated) {
                boolean drained = in.drained().contains(g.group());
                if (drained) {
                    reformOrDissolve(w, g);
                } else if (unavailable < w.spec().maxUnavailable()) {
                    steps.add(new GroupStep.Drain(g.group()));
                    unavailable++;
                }
            }
        }

        private void reformOrDissolve(WantedGroup w, GroupView g) {
            taken.add(g.group());
            if (g.present().size() != w.spec().targetsPerReplica()) {
                dissolve(g);
            } else if (mayLoad(List.of(), g.present(), w)) {
                form(w, g.present());
            } else {
                steps.add(new GroupStep.Drain(g.group()));
            }
        }

        private boolean mayLoad(List<KnownTarget> kept, List<KnownTarget> added, WantedGroup w) {
            int loads = 0;
            for (KnownTarget t : kept) {
                loads += IdleTargets.holds(t, w.spec()) ? 0 : 1;
            }
            for (KnownTarget t : added) {
                loads += IdleTargets.holds(t, w.spec()) ? 0 : 1;
            }
            boolean allowed = loads <= loadsLeft || (loads > in.maxLoads() && loadsLeft == in.maxLoads());
            if (allowed) {
                loadsLeft = Math.max(0, loadsLeft - loads);
            }
            return allowed;
        }

        private void form(WantedGroup w, List<KnownTarget> members) {
            steps.add(new GroupStep.Form(
                    w, members.stream().map(KnownTarget::instance).toList()));
        }
    }
}
