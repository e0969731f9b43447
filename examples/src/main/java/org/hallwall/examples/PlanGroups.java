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
package org.hallwall.examples;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.FabricDomainId;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.domain.AnnouncedTarget;
import org.hallwall.domain.DesiredModelGroup;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.GroupPlanInput;
import org.hallwall.domain.GroupPlanner;
import org.hallwall.domain.GroupStep;
import org.hallwall.engine.Announcement;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.RepairPolicy;

/** Runs the group planner on a small failure domain without starting any process. */
public final class PlanGroups {

    private static final int TARGETS_PER_FABRIC_DOMAIN = 4;
    private static final long NOW_MILLIS = 10_000;

    private PlanGroups() {}

    /**
     * Prints the planned steps.
     *
     * @param args ignored
     */
    public static void main(String[] args) {
        for (GroupStep step : plan()) {
            System.out.println(step);
        }
    }

    /**
     * Plans two replicas of two targets each, on two fabric domains of four targets each.
     *
     * @return the planned steps
     */
    public static List<GroupStep> plan() {
        List<AnnouncedTarget> targets = new ArrayList<>();
        for (int i = 0; i < 2 * TARGETS_PER_FABRIC_DOMAIN; i++) {
            targets.add(idleTarget("target-" + i, "fabric-" + i / TARGETS_PER_FABRIC_DOMAIN));
        }
        ModelGroupSpec spec = new ModelGroupSpec("model", "1", null, 2, 2, null, RepairPolicy.GROUP_DOWNTIME, 1);
        DesiredModelGroup desired = new DesiredModelGroup(new ModelGroupId("menu"), 1, spec, 2);
        GroupPlanInput input = new GroupPlanInput(NOW_MILLIS, targets, List.of(desired), Map.of(), Set.of(), 0);
        return new GroupPlanner(DomainTiming.DEFAULT).plan(input);
    }

    private static AnnouncedTarget idleTarget(String name, String fabric) {
        Announcement announcement = new Announcement(
                new InstanceId(name),
                "boot",
                1,
                new FailureDomainId("domain"),
                new FabricDomainId(fabric),
                4,
                new NetAddress("127.0.0.1", 9_000),
                true,
                null,
                null,
                FencingToken.NONE,
                null,
                null,
                null,
                null,
                null,
                false);
        return new AnnouncedTarget(announcement, NOW_MILLIS);
    }
}
