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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.decision.Mechanisms;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which models are staged on which hosts, for missing groups and for spares. */
class StagingPlanTest {

    private static final EngineSpec SPEC = new EngineSpec(
            18,
            List.of(new EngineModel("big", 4, 0.57, 1, 16, 1.6), new EngineModel("small", 3, 0.43, 0.6, 12, 1.1)),
            4.5,
            6,
            2.5,
            300);

    private final Map<InstanceId, Engine> engines = new LinkedHashMap<>();
    private final Map<String, List<Engine>> free = new LinkedHashMap<>();

    private void engine(String domain, int n, String staged) {
        Engine e = EngineFixture.engine(domain + n, domain, null, staged, null);
        engines.put(e.id(), e);
        free.computeIfAbsent(domain, d -> new ArrayList<>()).add(e);
    }

    /** Runs a step of a plan with the packing of a group plan for the same engines. */
    private List<StageOrder> step(StagingPlan plan, long now, EngineSpec spec, Map<String, Integer> streams) {
        GroupPlan groups = new GroupPlan(1, Mechanisms.ALL);
        groups.step(now, spec, streams, engines);
        return plan.step(now, spec, groups.packing(), free, engines);
    }

    private Map<String, Integer> counts(List<StageOrder> actions) {
        Map<String, Integer> out = new HashMap<>();
        actions.forEach(a -> out.merge(a.model(), 1, Integer::sum));
        return out;
    }

    @Test
    void bothModelsGetGroupsAndADomainKeepsASpare() {
        for (int d = 0; d < 6; d++) {
            for (int n = 0; n < 9; n++) {
                engine("d" + d, n, null);
            }
        }
        List<StageOrder> actions = step(new StagingPlan(Mechanisms.ALL), 0, SPEC, Map.of());
        Map<String, Integer> counts = counts(actions);
        Assertions.assertEquals(54, actions.size());
        Assertions.assertTrue(counts.get("big") / 4 >= 6, counts.toString());
        Assertions.assertTrue(counts.get("small") / 3 >= 5, counts.toString());
    }

    /** Engines without a started load are planned again together with engines that are announced later. */
    @Test
    void enginesAnnouncedOneByOneArePlannedTogether() {
        StagingPlan plan = new StagingPlan(Mechanisms.ALL);
        List<StageOrder> actions = List.of();
        for (int n = 0; n < 9; n++) {
            engine("d0", n, null);
            actions = step(plan, n, SPEC, Map.of());
        }
        Map<String, Integer> counts = counts(actions);
        Assertions.assertEquals(9, actions.size());
        Assertions.assertTrue(counts.get("small") >= 3, counts.toString());
        Assertions.assertTrue(counts.get("big") >= 4, counts.toString());
    }

    @ParameterizedTest
    @CsvSource({"100, 0", "6100, 1"})
    void idleEnginesOfDifferentModelsFormAGroup(long later, int loads) {
        engine("d0", 1, "big");
        engine("d0", 2, "small");
        engine("d0", 3, "small");
        StagingPlan plan = new StagingPlan(Mechanisms.ALL);
        step(plan, 0, SPEC, Map.of());
        List<StageOrder> actions = step(plan, later, SPEC, Map.of());
        Assertions.assertEquals(loads, counts(actions).getOrDefault("small", 0));
    }

    /** A new engine completes a group before it becomes a spare of the other model. */
    @ParameterizedTest
    @CsvSource({"big, 3", "small, 2"})
    void aNewEngineCompletesAGroup(String model, int idle) {
        for (int n = 0; n < idle; n++) {
            engine("d0", n, model);
        }
        engine("d0", 8, null);
        StageOrder order =
                step(new StagingPlan(Mechanisms.ALL), 0, SPEC, Map.of()).get(0);
        Assertions.assertEquals(model, order.model());
        Assertions.assertEquals(1, order.missingEngines());
    }

    /** All five spares are for the one large group, not the four small ones, since the loss of one member stops sixteen engines. */
    @Test
    void sparesCoverTheModelWithTheHighestExpectedLoss() {
        EngineSpec spec = new EngineSpec(
                21,
                List.of(new EngineModel("big", 16, 0.5, 1, 16, 1.6), new EngineModel("small", 4, 0.5, 0.6, 12, 1.1)),
                4.5,
                6,
                2.5,
                300);
        for (int n = 0; n < 37; n++) {
            engine("d0", n, null);
        }
        Map<String, Integer> counts = counts(step(new StagingPlan(Mechanisms.ALL), 0, spec, Map.of()));
        Assertions.assertEquals(Map.of("big", 21, "small", 16), counts);
    }

    /** A spare continues a partially loaded group, even if its model has no group in the domain. */
    @Test
    void aSpareContinuesAPartiallyLoadedGroup() {
        for (int n = 0; n < 2; n++) {
            engine("d0", n, "big");
        }
        engine("d0", 8, null);
        StageOrder order =
                step(new StagingPlan(Mechanisms.ALL), 0, SPEC, Map.of()).get(0);
        Assertions.assertEquals("big", order.model());
    }

    @Test
    void loadsThatCompleteAGroupComeFirst() {
        for (int n = 0; n < 2; n++) {
            engine("d0", n, null);
        }
        for (int n = 0; n < 3; n++) {
            engine("d1", n, "big");
        }
        engine("d1", 9, null);
        List<StageOrder> orders = step(new StagingPlan(Mechanisms.ALL), 0, SPEC, Map.of());
        Assertions.assertEquals(new InstanceId("d19"), orders.get(0).target().id());
        Assertions.assertTrue(orders.get(1).isSpare());
    }

    /** New engines are assigned to the model with the higher demand. */
    @ParameterizedTest
    @CsvSource({"60, 20, big", "20, 60, small"})
    void newEnginesServeTheModelWithTheHigherDemand(int bigStreams, int smallStreams, String expected) {
        for (int n = 0; n < 5; n++) {
            engine("d0", n, null);
        }
        Map<String, Integer> streams = Map.of("big", bigStreams, "small", smallStreams);
        Map<String, Integer> counts = counts(step(new StagingPlan(Mechanisms.ALL), 0, SPEC, streams));
        int minLoads = expected.equals("big") ? 4 : 3;
        Assertions.assertTrue(counts.getOrDefault(expected, 0) >= minLoads, counts.toString());
    }
}
