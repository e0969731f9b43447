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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a large group gets missing engines from a surplus small group, which serves until the model is staged. */
class SurplusMemberStagingTest {

    private static final EngineModel BIG = new EngineModel("big", 6, 0.5, 1, 16, 1.6);
    private static final EngineSpec SPEC =
            new EngineSpec(18, List.of(BIG, new EngineModel("small", 3, 0.5, 0.6, 12, 1.1)), 4.5, 6, 2.5, 300);

    private final Map<InstanceId, Engine> engines = new LinkedHashMap<>();
    private final GroupPlan plan = new GroupPlan(1, Mechanisms.ALL);
    private final StagingPlan staging = new StagingPlan(Mechanisms.ALL);

    private void engine(int n, String staged, GroupMembership membership) {
        engine(n, "d0", staged, membership);
    }

    private void engine(int n, String domain, String staged, GroupMembership membership) {
        String model = membership == null ? null : "small";
        Engine e = EngineFixture.engine("i-" + n, domain, model, staged, membership);
        engines.put(e.id(), e);
    }

    /** Adds a domain with enough small groups, so that the fleet lacks the big model. */
    private void addDomainOfSmallGroups() {
        for (int n = 0; n < 9; n++) {
            GroupState state = n % 3 == 0 ? GroupState.OPEN : GroupState.READY;
            engine(21 + n, "d1", "small", new GroupMembership("h" + n / 3, 1 + n / 3, n % 3, state));
        }
    }

    /** Creates idle engines of the big model and an open small group of engines 11 to 13. */
    private PlannedGroup createFleet(int idle) {
        for (int n = 11; n <= 13; n++) {
            engine(n, "small", null);
        }
        plan.step(0, SPEC, Map.of(), engines);
        PlannedGroup g = plan.groups().iterator().next();
        addDomainOfSmallGroups();
        for (int rank = 0; rank < 3; rank++) {
            GroupState state = rank == 0 ? GroupState.OPEN : GroupState.READY;
            engine(11 + rank, "small", new GroupMembership(g.name(), g.epoch(), rank, state));
        }
        for (int n = 1; n <= idle; n++) {
            engine(n, "big", null);
        }
        plan.step(0, SPEC, Map.of(), engines);
        return g;
    }

    /** Returns the required loads other than those of spares. */
    private List<StageOrder> stage(long now) {
        return staging.step(now, SPEC, plan.packing(), plan.freeEngines(engines), engines).stream()
                .filter(o -> !o.isSpare())
                .toList();
    }

    @ParameterizedTest
    @CsvSource({"5, 1000, 0", "5, 2000, 1", "4, 2000, 2"})
    void hostsOfASmallGroupStageTheMissingModel(int idle, long later, int loads) {
        createFleet(idle);
        stage(0);
        List<StageOrder> orders = stage(later);
        Assertions.assertEquals(loads, orders.size());
        for (int n = 0; n < loads; n++) {
            Assertions.assertEquals("i-" + (11 + n), orders.get(n).target().id().value());
        }
    }

    @Test
    void noOtherHostIsUsedWhileOneLoads() {
        createFleet(5);
        stage(0);
        List<StageOrder> orders = stage(2_000);
        staging.markStarted(orders.get(0).target().id());
        Assertions.assertEquals(orders, stage(10_000));
    }

    @Test
    void theSmallGroupServesUntilTheModelIsStagedAndIsThenRetired() {
        PlannedGroup g = createFleet(5);
        Assertions.assertTrue(orders(TargetOrder.Close.class).isEmpty());
        engine(11, "big", new GroupMembership(g.name(), g.epoch(), 0, GroupState.OPEN));
        orders(TargetOrder.Close.class);
        Assertions.assertEquals(1, orders(TargetOrder.Close.class).size());
        engine(11, "big", null);
        engine(12, "small", null);
        engine(13, "small", null);
        List<GroupAction> joins = orders(TargetOrder.Join.class).stream()
                .filter(a -> ((TargetOrder.Join) a.order()).model().equals("big"))
                .filter(a -> ((TargetOrder.Join) a.order()).group().startsWith("g"))
                .toList();
        Assertions.assertEquals(BIG.size(), joins.size());
    }

    /** A member may be removed from the directory before its group breaks. */
    @Test
    void anUnknownMemberDoesNotPreventCountingTheOthers() {
        createFleet(5);
        engine(11, "big", new GroupMembership("g1000001", 1_000_001, 0, GroupState.OPEN));
        engines.remove(new InstanceId("i-12"));
        Assertions.assertDoesNotThrow(() -> orders(TargetOrder.Close.class));
    }

    private <T> List<GroupAction> orders(Class<T> type) {
        return plan.step(1_000, SPEC, Map.of(), engines).stream()
                .filter(a -> type.isInstance(a.order()))
                .toList();
    }
}
