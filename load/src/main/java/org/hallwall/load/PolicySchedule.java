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
package org.hallwall.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.hallwall.core.id.FabricDomainId;
import org.hallwall.core.id.FencingNumber;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.GroupNames;
import org.hallwall.domain.GroupPlanInput;
import org.hallwall.domain.GroupPlanner;
import org.hallwall.domain.GroupStep;
import org.hallwall.domain.GroupView;
import org.hallwall.domain.GroupViews;
import org.hallwall.domain.KnownTarget;
import org.hallwall.domain.WantedGroup;
import org.hallwall.engine.GroupMembership;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.RepairPolicy;

/**
 * One seeded schedule of failures, met by the planner with one repair policy. The failures depend on the seed only, so
 * that policies are compared on the same ones.
 */
final class PolicySchedule {

    private static final int FABRICS = 5;
    private static final int TARGETS_A_FABRIC = 9;
    private static final int GROUP_SIZE = 4;
    private static final int REPLICAS = 10;
    private static final long MINUTES = 60_000;
    private static final long STEP_MILLIS = 1_000;
    private static final long LENGTH_MILLIS = 240 * MINUTES;
    private static final long LOAD_MILLIS = 90_000;
    private static final int LOADS_AT_ONCE = 2;
    private static final String VERSION = "1";
    private static final ModelGroupId MODEL_GROUP = new ModelGroupId("m");

    private final Random random;
    private final Map<InstanceId, PolicyTarget> targets = new TreeMap<>();
    private final Map<InstanceId, GroupId> ordered = new HashMap<>();
    private final Map<InstanceId, Long> orderedUntil = new HashMap<>();
    private final GroupPlanner planner = new GroupPlanner(DomainTiming.DEFAULT);
    private final RepairPolicy policy;
    private final WantedGroup wanted;
    private final long[] storeFreeAt = new long[LOADS_AT_ONCE];
    private long fencing;
    private double downtimeSeconds;
    private double strandedSeconds;

    PolicySchedule(long seed, RepairPolicy policy) {
        random = new Random(seed);
        this.policy = policy;
        ModelGroupSpec spec = new ModelGroupSpec("m", VERSION, null, GROUP_SIZE, REPLICAS, null, policy, 1);
        wanted = new WantedGroup(MODEL_GROUP, 1, spec, REPLICAS);
        for (int f = 0; f < FABRICS; f++) {
            for (int t = 0; t < TARGETS_A_FABRIC; t++) {
                InstanceId id = new InstanceId("f" + f + "-" + t);
                targets.put(id, new PolicyTarget(id, new FabricDomainId("f" + f)));
            }
        }
    }

    PolicySchedule run() {
        long nextFailure = 32 * MINUTES;
        for (long now = STEP_MILLIS; now < LENGTH_MILLIS; now += STEP_MILLIS) {
            if (now >= nextFailure) {
                failSomething(now);
                nextFailure = now + 2 * MINUTES + (long) (random.nextDouble() * 16 * MINUTES);
            }
            step(now);
            if (now > 30 * MINUTES) {
                measure(now);
            }
        }
        return this;
    }

    /** The time that wanted groups could not serve, summed over groups. */
    double downtimeSeconds() {
        return downtimeSeconds;
    }

    /** Healthy accelerators outside of serving groups, summed over time. */
    double strandedAcceleratorSeconds() {
        return strandedSeconds;
    }

    /** Mostly single targets, sometimes a second one of the same group soon after, seldom a whole fabric domain. */
    private void failSomething(long now) {
        int dice = random.nextInt(20);
        List<PolicyTarget> all = new ArrayList<>(targets.values());
        PolicyTarget first = all.get(random.nextInt(all.size()));
        long back = now + 2 * MINUTES + (long) (random.nextDouble() * 20 * MINUTES);
        if (dice == 0) {
            for (PolicyTarget t : all) {
                if (t.fabric().equals(first.fabric())) {
                    t.fail(now + 6 * MINUTES);
                }
            }
        } else if (dice < 5) {
            first.fail(back);
            all.get((all.indexOf(first) + 1) % all.size()).fail(back);
        } else {
            first.fail(back);
        }
    }

    private void step(long now) {
        List<KnownTarget> known = new ArrayList<>();
        for (PolicyTarget t : targets.values()) {
            t.step(now);
            known.add(t.known());
        }
        orderedUntil.entrySet().removeIf(e -> now >= e.getValue() && ordered.remove(e.getKey()) != null);
        GroupPlanInput input = new GroupPlanInput(now, known, List.of(wanted), ordered, drained(known), LOADS_AT_ONCE);
        for (GroupStep s : planner.plan(input)) {
            carryOut(now, s);
        }
    }

    /** No requests run here, so a group is drained as soon as it is to be. */
    private static Set<GroupId> drained(List<KnownTarget> known) {
        return new HashSet<>(GroupViews.of(known).keySet());
    }

    private void carryOut(long now, GroupStep step) {
        fencing++;
        if (step instanceof GroupStep.Form f) {
            GroupId group = GroupNames.of(MODEL_GROUP, new FencingNumber(fencing));
            GroupMembership m = new GroupMembership(group, MODEL_GROUP, new FencingNumber(fencing), f.members(), false);
            for (InstanceId id : f.members()) {
                if (targets.get(id).isUp(now)) {
                    PolicyTarget t = targets.get(id);
                    t.join(m, VERSION, t.holds(VERSION) ? now : reserveLoad(now));
                }
                remember(now, id, group);
            }
        } else if (step instanceof GroupStep.Dissolve d) {
            for (InstanceId id : d.members()) {
                // The baseline restarts every engine of the group that it rebuilds.
                targets.get(id).leave(policy == RepairPolicy.REBUILD);
                remember(now, id, d.group());
            }
        }
    }

    /** The weight store serves so many loads at once; the others wait. */
    private long reserveLoad(long now) {
        Arrays.sort(storeFreeAt);
        storeFreeAt[0] = Math.max(now, storeFreeAt[0]) + LOAD_MILLIS;
        return storeFreeAt[0];
    }

    private void remember(long now, InstanceId id, GroupId group) {
        ordered.put(id, group);
        orderedUntil.put(id, now + 2 * STEP_MILLIS);
    }

    private void measure(long now) {
        List<KnownTarget> known = new ArrayList<>();
        targets.values().forEach(t -> known.add(t.known()));
        Set<InstanceId> serving = new HashSet<>();
        int complete = 0;
        for (GroupView g : GroupViews.of(known).values()) {
            if (g.isComplete(now, DomainTiming.DEFAULT.announceLease()) && allUp(g, now)) {
                complete++;
                serving.addAll(g.membership().members());
            }
        }
        int stranded = 0;
        for (PolicyTarget t : targets.values()) {
            stranded += t.isUp(now) && !serving.contains(t.id()) ? PolicyTarget.ACCELERATORS : 0;
        }
        double seconds = STEP_MILLIS / 1e3;
        downtimeSeconds += Math.max(0, REPLICAS - complete) * seconds;
        strandedSeconds += stranded * seconds;
    }

    private boolean allUp(GroupView g, long now) {
        for (InstanceId m : g.membership().members()) {
            if (!targets.get(m).isUp(now)) {
                return false;
            }
        }
        return true;
    }
}
