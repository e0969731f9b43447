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
package org.hallwall.serving.control;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.awaitility.Awaitility;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.group.EngineReport;
import org.hallwall.serving.group.OrderOutcome;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.group.TargetOrder;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

/** Guards against two orders for one engine, to open its group and to stage a model, that replace each other and are resent forever. */
class RepeatedOrderTest {

    /** The maximum number of orders in two seconds: two orders and their retries. */
    private static final int MAX_ORDERS = 8;

    @TempDir
    private Path folder;

    private final Queue<TargetOrder> sentOrders = new ConcurrentLinkedQueue<>();
    private final TargetGateway gateway = new TargetGateway() {
        @Override
        public Mono<OrderOutcome> sendOrder(TargetRecord t, TargetOrder o, long token, Duration timeout) {
            sentOrders.add(o);
            return Mono.just(OrderOutcome.TAKEN);
        }

        @Override
        public Mono<Boolean> probe(TargetRecord t, Duration timeout) {
            return Mono.just(true);
        }

        @Override
        public Mono<EngineReport> readReport(TargetRecord t, Duration timeout) {
            return Mono.just(new EngineReport(null, null, 0));
        }
    };

    @Test
    void twoOrdersForOneEngineAreSentOnceEach() throws IOException {
        List<EngineModel> models =
                List.of(new EngineModel("one", 1, 0.5, 1, 16, 1.6), new EngineModel("two", 1, 0.5, 1, 16, 1.6));
        try (ControlFixture control = new ControlFixture(folder, models, gateway)) {
            control.announce(1, 1, "one", List.of("one"), new GroupMembership("g1", 1, 0, GroupState.READY));
            Awaitility.await()
                    .atMost(ControlFixture.TIMEOUT)
                    .until(() -> wasSent(TargetOrder.Open.class) && wasSent(TargetOrder.Stage.class));
            Awaitility.await()
                    .during(Duration.ofSeconds(2))
                    .atMost(ControlFixture.TIMEOUT)
                    .until(() -> sentOrders.size() <= MAX_ORDERS);
        }
        Assertions.assertTrue(sentOrders.size() <= MAX_ORDERS, sentOrders.size() + " orders");
    }

    private boolean wasSent(Class<? extends TargetOrder> type) {
        return sentOrders.stream().anyMatch(type::isInstance);
    }
}
