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
package org.hallwall.serving.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.awaitility.Awaitility;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.wire.PeerLink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against timers of the I/O thread that end for good with the first failure of a task. */
class FailingTimerTaskTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int RUNS = 3;

    private final EventLoop loop = new DefaultEventLoop();
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void fail(boolean error) {
        failures.incrementAndGet();
        if (error) {
            throw new OutOfMemoryError("test");
        }
        throw new IllegalStateException("test");
    }

    /** The failing check goes on as well: its stream may still have to be ended. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aFailingCheckDoesNotStopTheOthers(boolean error) {
        StreamMonitor monitor = new StreamMonitor();
        loop.execute(() -> {
            monitor.add(loop, () -> fail(error));
            monitor.add(loop, runs::incrementAndGet);
        });
        Awaitility.await().atMost(TIMEOUT).until(() -> runs.get() >= RUNS && failures.get() >= RUNS);
    }

    @Test
    void aFailingCheckCanBeRemoved() {
        StreamMonitor monitor = new StreamMonitor();
        Runnable failing = new Runnable() {
            @Override
            public void run() {
                monitor.remove(this);
                fail(false);
            }
        };
        loop.execute(() -> monitor.add(loop, failing));
        Awaitility.await().atMost(TIMEOUT).until(() -> failures.get() == 1);
        loop.execute(() -> monitor.add(loop, runs::incrementAndGet));
        Awaitility.await().atMost(TIMEOUT).until(() -> runs.get() >= RUNS && failures.get() == 1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theLoadExchangeGoesOnAfterAFailure(boolean error) {
        FleetLoad load = new FleetLoad(() -> 0);
        Balancer balancer = new Balancer("a", load, Mechanisms.ALL, () -> 0, () -> 0);
        EntryPermits permits = new EntryPermits(() -> 0, () -> 0);
        try (LoadExchange exchange = new LoadExchange(loop, balancer, load, permits, () -> links(error))) {
            loop.execute(exchange::start);
            Awaitility.await().atMost(TIMEOUT).until(() -> runs.get() >= RUNS);
        }
    }

    /** Fails once. */
    private Collection<PeerLink> links(boolean error) {
        if (failures.get() == 0) {
            fail(error);
        }
        runs.incrementAndGet();
        return List.of();
    }
}
