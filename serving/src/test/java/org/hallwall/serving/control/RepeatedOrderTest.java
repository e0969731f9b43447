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
import org.hallwall.serving.group.OrderOutcome;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.group.TargetOrder;
import org.hallwall.serving.target.GroupMark;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

/**
 * An engine may be due two orders at a time: to open its group, and to load a second model. Only the last one given was remembered,
 * so they were given in turns, some hundred times a second, until the engine's connections were all in use and it was held for dead.
 */
class RepeatedOrderTest {

    /** What may be given in two seconds: each of two orders, and again after it was taken and nothing was seen of it. */
    private static final int MOST = 8;

    @TempDir
    private Path folder;

    private final Queue<TargetOrder> given = new ConcurrentLinkedQueue<>();
    private final TargetGateway gateway = new TargetGateway() {
        @Override
        public Mono<OrderOutcome> order(TargetRecord t, TargetOrder o, long token, Duration timeout) {
            given.add(o);
            return Mono.just(OrderOutcome.TAKEN);
        }

        @Override
        public Mono<Boolean> answers(TargetRecord t, Duration timeout) {
            return Mono.just(true);
        }
    };

    @Test
    void twoOrdersForOneEngineAreGivenOnceEach() throws IOException {
        List<EngineModel> models =
                List.of(new EngineModel("one", 1, 0.5, 1, 16, 1.6), new EngineModel("two", 1, 0.5, 1, 16, 1.6));
        try (ControlFixture control = new ControlFixture(folder, models, gateway)) {
            control.announce(1, 1, "one", List.of("one"), new GroupMark("g1", 1, 0, GroupState.READY));
            Awaitility.await()
                    .atMost(ControlFixture.WITHIN)
                    .until(() -> has(TargetOrder.Open.class) && has(TargetOrder.Stage.class));
            Awaitility.await()
                    .during(Duration.ofSeconds(2))
                    .atMost(ControlFixture.WITHIN)
                    .until(() -> given.size() <= MOST);
        }
        Assertions.assertTrue(given.size() <= MOST, given.size() + " orders");
    }

    private boolean has(Class<? extends TargetOrder> type) {
        return given.stream().anyMatch(type::isInstance);
    }
}
