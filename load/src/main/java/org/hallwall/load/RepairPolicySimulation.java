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
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.domain.AnnouncedTarget;
import org.hallwall.domain.DesiredModelGroup;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.GroupNames;
import org.hallwall.domain.GroupPlanInput;
import org.hallwall.domain.GroupPlanner;
import org.hallwall.domain.GroupStep;
import org.hallwall.domain.GroupView;
import org.hallwall.domain.GroupViews;
import org.hallwall.engine.GroupMembership;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.RepairPolicy;

/**
 * Simulates the group planner with one repair policy under a random sequence of failures. The failures depend only on
 * the seed, so that policies can be compared on identical failures.
 */
final class RepairPolicySimulation {

    private static final int FABRIC_DOMAINS = 5;
    private static final int TARGETS_PER_DOMAIN = 9;
    private static final int GROUP_SIZE = 4;
    private static final int REPLICAS = 10;
    private static final long MINUTE_MILLIS = 60_000;
    private static final long STEP_MILLIS = 1_000;
    private static final long DURATION_MILLIS = 240 * MINUTE_MILLIS;
    private static final long LOAD_MILLIS = 90_000;
    private static final int MAX_CONCURRENT_LOADS = 2;
    private static final String VERSION = "1";
    private static final ModelGroupId MODEL_GROUP = new ModelGroupId("m");

    private final Random random;
    private final Map<InstanceId, SimulatedTarget> targets = new TreeMap<>();
    private final Map<InstanceId, GroupId> pendingGroups = new HashMap<>();
    private final Map<InstanceId, Long> pendingUntilMillis = new HashMap<>();
    private final GroupPlanner planner = new GroupPlanner(DomainTiming.DEFAULT);
    private final RepairPolicy policy;
    private final DesiredModelGroup desiredGroup;
    private final long[] slotFreeMillis = new long[MAX_CONCURRENT_LOADS];
    private long fencing;
    private double downtimeSeconds;
    private double strandedSeconds;

    RepairPolicySimulation(long seed, RepairPolicy policy) {
        random = new Random(seed);
        this.policy = policy;
        ModelGroupSpec spec = new ModelGroupSpec("m", VERSION, null, GROUP_SIZE, REPLICAS, null, policy, 1);
        desiredGroup = new DesiredModelGroup(MODEL_GROUP, 1, spec, REPLICAS);
        for (int f = 0; f < FABRIC_DOMAINS; f++) {
            for (int t = 0; t < TARGETS_PER_DOMAIN; t++) {
                InstanceId id = new InstanceId("f" + f + "-" + t);
                targets.put(id, new SimulatedTarget(id, new FabricDomainId("f" + f)));
            }
        }
    }

    RepairPolicySimulation run() {
        long nextFailure = 32 * MINUTE_MILLIS;
        for (long now = STEP_MILLIS; now < DURATION_MILLIS; now += STEP_MILLIS) {
            if (now >= nextFailure) {
                injectFailure(now);
                nextFailure = now + 2 * MINUTE_MILLIS + (long) (random.nextDouble() * 16 * MINUTE_MILLIS);
            }
            step(now);
            if (now > 30 * MINUTE_MILLIS) {
                recordMetrics(now);
            }
        }
        return this;
    }

    /** Downtime of desired groups, summed over groups. */
    double downtimeSeconds() {
        return downtimeSeconds;
    }

    /** Time of healthy accelerators outside of serving groups, summed over accelerators. */
    double strandedAcceleratorSeconds() {
        return strandedSeconds;
    }

    /** Fails one target in 75%, two neighbouring targets in 20% and a whole fabric domain in 5% of the cases. */
    private void injectFailure(long now) {
        int draw = random.nextInt(20);
        List<SimulatedTarget> all = new ArrayList<>(targets.values());
        SimulatedTarget first = all.get(random.nextInt(all.size()));
        long recoveryMillis = now + 2 * MINUTE_MILLIS + (long) (random.nextDouble() * 20 * MINUTE_MILLIS);
        if (draw == 0) {
            for (SimulatedTarget t : all) {
                if (t.fabricDomain().equals(first.fabricDomain())) {
                    t.fail(now + 6 * MINUTE_MILLIS);
                }
            }
        } else if (draw < 5) {
            first.fail(recoveryMillis);
            all.get((all.indexOf(first) + 1) % all.size()).fail(recoveryMillis);
        } else {
            first.fail(recoveryMillis);
        }
    }

    private void step(long now) {
        List<AnnouncedTarget> known = new ArrayList<>();
        for (SimulatedTarget t : targets.values()) {
            t.step(now);
            known.add(t.toKnownTarget());
        }
        pendingUntilMillis.entrySet().removeIf(e -> now >= e.getValue() && pendingGroups.remove(e.getKey()) != null);
        GroupPlanInput input = new GroupPlanInput(
                now, known, List.of(desiredGroup), pendingGroups, drainedGroups(known), MAX_CONCURRENT_LOADS);
        for (GroupStep s : planner.plan(input)) {
            applyStep(now, s);
        }
    }

    /** Returns all groups: without requests, each group is drained at once. */
    private static Set<GroupId> drainedGroups(List<AnnouncedTarget> known) {
        return new HashSet<>(GroupViews.of(known).keySet());
    }

    private void applyStep(long now, GroupStep step) {
        fencing++;
        if (step instanceof GroupStep.Form f) {
            GroupId group = GroupNames.of(MODEL_GROUP, new FencingToken(fencing));
            GroupMembership m = new GroupMembership(group, MODEL_GROUP, new FencingToken(fencing), f.members(), false);
            for (InstanceId id : f.members()) {
                if (targets.get(id).isUp(now)) {
                    SimulatedTarget t = targets.get(id);
                    t.join(m, VERSION, t.hasLoaded(VERSION) ? now : reserveLoad(now));
                }
                markPending(now, id, group);
            }
        } else if (step instanceof GroupStep.Dissolve d) {
            for (InstanceId id : d.members()) {
                // The baseline policy restarts all engines of a group that it rebuilds.
                targets.get(id).leave(policy == RepairPolicy.REBUILD);
                markPending(now, id, d.group());
            }
        }
    }

    /** Reserves the next free slot of the weight store and returns the completion time. */
    private long reserveLoad(long now) {
        Arrays.sort(slotFreeMillis);
        slotFreeMillis[0] = Math.max(now, slotFreeMillis[0]) + LOAD_MILLIS;
        return slotFreeMillis[0];
    }

    private void markPending(long now, InstanceId id, GroupId group) {
        pendingGroups.put(id, group);
        pendingUntilMillis.put(id, now + 2 * STEP_MILLIS);
    }

    private void recordMetrics(long now) {
        List<AnnouncedTarget> known = new ArrayList<>();
        targets.values().forEach(t -> known.add(t.toKnownTarget()));
        Set<InstanceId> serving = new HashSet<>();
        int complete = 0;
        for (GroupView g : GroupViews.of(known).values()) {
            if (g.isComplete(now, DomainTiming.DEFAULT.announcementTtl()) && areAllUp(g, now)) {
                complete++;
                serving.addAll(g.membership().members());
            }
        }
        int stranded = 0;
        for (SimulatedTarget t : targets.values()) {
            stranded += t.isUp(now) && !serving.contains(t.id()) ? SimulatedTarget.ACCELERATORS : 0;
        }
        double seconds = STEP_MILLIS / 1e3;
        downtimeSeconds += Math.max(0, REPLICAS - complete) * seconds;
        strandedSeconds += stranded * seconds;
    }

    private boolean areAllUp(GroupView g, long now) {
        for (InstanceId m : g.membership().members()) {
            if (!targets.get(m).isUp(now)) {
                return false;
            }
        }
        return true;
    }
}
