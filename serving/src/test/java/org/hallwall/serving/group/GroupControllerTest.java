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

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogTiming;
import org.hallwall.log.LogVoter;
import org.hallwall.log.LogVoterConfig;
import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.control.ConfigurationStateMachine;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.FeedMessage.SuspectCheckResult;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

/** Tests that the controller goes on when its queue has been full. */
class GroupControllerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    /** More than the capacity of the controller's queue. */
    private static final int REQUESTS = 2_000;

    private static final int STEPS = 3;
    private static final SuspectCheckResult FINDING = new SuspectCheckResult("g", List.of(), List.of());

    private final StoppableTicker voterClock = new StoppableTicker();
    private final StoppableTicker controllerClock = new StoppableTicker();
    private final AtomicInteger steps = new AtomicInteger();
    private LogVoter voter;
    private GroupController controller;

    @TempDir
    private Path disk;

    @BeforeEach
    void start() throws Exception {
        InstanceId self = new InstanceId("c-0");
        LogStore.form(disk);
        voter = new LogVoter(
                new LogVoterConfig(self, List.of(self), LogTiming.DEFAULT),
                LogStore.open(disk),
                new ConfigurationStateMachine(() -> {}),
                (to, message) -> {},
                voterClock,
                new Random(1),
                () -> {});
        voter.start();
        controller = new GroupController(
                voter,
                new ControllerInputs(new TargetDirectory(Ticker.SYSTEM), this::configuration, Map::of),
                new SilentGateway(),
                lost -> {},
                new ControllerTiming(1_000, 1_000, true, 0),
                Mechanisms.ALL,
                controllerClock);
        controller.start();
    }

    @AfterEach
    void stop() {
        voterClock.resume();
        controllerClock.resume();
        controller.close();
        voter.close();
    }

    /** Called once in each step. */
    private Configuration configuration() {
        steps.incrementAndGet();
        return new Configuration(1, List.of(), Map.of(), List.of(), CallerLimits.DEFAULT);
    }

    private void awaitSteps() {
        int before = steps.get();
        Awaitility.await().atMost(TIMEOUT).until(() -> steps.get() >= before + STEPS);
    }

    @Test
    void stepsGoOnAfterTheQueueWasFullWhenLeadershipWasConfirmed() {
        awaitSteps();
        voterClock.stop();
        Awaitility.await().atMost(TIMEOUT).until(voterClock::isAwaited);
        // its last action is to ask for a confirmation, which waits for the voter's clock
        controller.handleSuspectFinding(FINDING).block(TIMEOUT);
        controllerClock.stop();
        controller.handleSuspectFinding(FINDING).subscribe();
        Awaitility.await().atMost(TIMEOUT).until(controllerClock::isAwaited);
        for (int i = 0; i < REQUESTS; i++) {
            controller.requestStep();
        }
        voterClock.resume();
        voter.leaseReadIndex().join();
        controllerClock.resume();
        awaitSteps();
    }

    /** A clock whose readers wait while it is stopped. */
    private static final class StoppableTicker implements Ticker {

        private final AtomicInteger waiting = new AtomicInteger();
        private volatile CountDownLatch running = new CountDownLatch(0);

        @Override
        public long millis() {
            waiting.incrementAndGet();
            try {
                running.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            waiting.decrementAndGet();
            return Ticker.SYSTEM.millis();
        }

        boolean isAwaited() {
            return waiting.get() > 0;
        }

        void stop() {
            running = new CountDownLatch(1);
        }

        void resume() {
            running.countDown();
        }
    }

    private static final class SilentGateway implements TargetGateway {

        @Override
        public Mono<OrderOutcome> sendOrder(TargetRecord target, TargetOrder order, long token, Duration timeout) {
            return Mono.just(OrderOutcome.UNKNOWN);
        }

        @Override
        public Mono<Boolean> probe(TargetRecord target, Duration timeout) {
            return Mono.just(false);
        }

        @Override
        public Mono<EngineReport> readReport(TargetRecord target, Duration timeout) {
            return Mono.empty();
        }
    }
}
