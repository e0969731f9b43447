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
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.awaitility.Awaitility;
import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.group.EngineReport;
import org.hallwall.serving.group.OrderOutcome;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.group.TargetOrder;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

/** Guards against undetected dead targets that occupy load capacity or keep receiving orders. */
class UnansweredOrderTest {

    private static final Duration TIMEOUT = ControlFixture.TIMEOUT;

    private static final Set<InstanceId> DEAD = Set.of(new InstanceId("i-1"), new InstanceId("i-2"));

    @TempDir
    private Path folder;

    private final Queue<InstanceId> accepted = new ConcurrentLinkedQueue<>();
    private final Queue<InstanceId> unanswered = new ConcurrentLinkedQueue<>();
    private final TargetGateway gateway = new TargetGateway() {
        @Override
        public Mono<OrderOutcome> sendOrder(TargetRecord t, TargetOrder o, long token, Duration timeout) {
            boolean dead = DEAD.contains(t.instance());
            (dead ? unanswered : accepted).add(t.instance());
            return Mono.just(dead ? OrderOutcome.UNKNOWN : OrderOutcome.TAKEN);
        }

        @Override
        public Mono<Boolean> probe(TargetRecord t, Duration timeout) {
            return Mono.just(!DEAD.contains(t.instance()));
        }

        @Override
        public Mono<EngineReport> readReport(TargetRecord t, Duration timeout) {
            return Mono.just(new EngineReport(null, null, 0));
        }
    };
    private ControlFixture control;

    /** Announces four engines, of which two are dead. */
    @BeforeEach
    void start() throws IOException {
        control = new ControlFixture(folder, List.of(new EngineModel("big", 4, 1, 1, 16, 1.6)), gateway);
        for (int n = 1; n <= 4; n++) {
            control.announce(n, 1, null, List.of(), null);
        }
    }

    @AfterEach
    void stop() {
        control.close();
    }

    @Test
    void anUnansweredLoadOccupiesNoCapacity() {
        Awaitility.await().atMost(TIMEOUT).until(() -> !accepted.isEmpty());
    }

    @Test
    void anUnresponsiveTargetReceivesNoMoreOrders() {
        Awaitility.await().atMost(TIMEOUT).until(() -> Set.copyOf(unanswered).size() == 2);
        int orders = unanswered.size();
        Awaitility.await()
                .during(Duration.ofSeconds(2))
                .atMost(TIMEOUT)
                .until(() -> unanswered.size() <= orders + DEAD.size());
        Assertions.assertTrue(Set.copyOf(accepted).size() <= 2);
    }
}
