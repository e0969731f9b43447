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

import java.net.SocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.embedded.EmbeddedChannel;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.reachability.ConnectResult;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Guards against attempts that count as unread for ever, and against those that a stopped target may still read and that are forgotten. */
class UnreadAttemptCheckTest {

    private static final long RETRIES = 5;

    private long now;
    private final RetryWindow window = new RetryWindow(RetryBudgetFixture.WINDOW_MILLIS);
    private final Balancer balancer = new Balancer("a", new FleetLoad(() -> now), Mechanisms.ALL, () -> 0, () -> now);
    private final AtomicInteger connects = new AtomicInteger();
    private Mono<ConnectResult> result = Mono.just(ConnectResult.CONNECTED);
    private final UnreadAttemptCheck check = new UnreadAttemptCheck(List.of(balancer), this::connect, () -> now);

    private Mono<ConnectResult> connect(SocketAddress address, Duration timeout) {
        connects.incrementAndGet();
        return result;
    }

    @BeforeEach
    void abandon() {
        ServingTarget target =
                new ServingTarget(new InstanceId("h0"), 0, new NetAddress("127.0.0.1", 1), "a", 1, null, null, 1);
        ArrivalTracker tracker = new ArrivalTracker(() -> now);
        tracker.recordSend().confirm();
        tracker.add(window.tryRetry(now, 0, RETRIES, RETRIES));
        AttemptConnection connection = new AttemptConnection();
        connection.recordSend(new EmbeddedChannel());
        balancer.state(target).addUnread(tracker.recordSend(), connection);
    }

    private void run(long millis) {
        for (long end = now + millis; now < end; now += UnreadAttemptCheck.INTERVAL_MILLIS) {
            check.tick();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "CONNECTED, 200000, 1",
        "NO_RESPONSE, 200000, 1",
        "NO_RESPONSE, 601000, 0",
        "REFUSED, 3000, 1",
        "REFUSED, 4000, 0",
        "CONNECTED, 601000, 0"
    })
    void attemptIsDiscardedWhenItsTargetRefusesConnections(ConnectResult r, long millis, int open) {
        result = Mono.just(r);
        run(millis);
        Assertions.assertEquals(open, window.openCharges());
        Assertions.assertEquals(open == 1, balancer.unreadAttempts().containsKey("h0"));
    }

    /** A stopped target holds each connection in its queue. */
    @Test
    void stoppedTargetIsCheckedLessAndLessOften() {
        run(30_000);
        Assertions.assertEquals(4, connects.get());
        run(300_000);
        Assertions.assertEquals(14, connects.get());
    }

    @Test
    void targetIsCheckedOnceAtATime() {
        Sinks.One<ConnectResult> pending = Sinks.one();
        result = pending.asMono();
        run(60_000);
        Assertions.assertEquals(1, connects.get());
        pending.tryEmitValue(ConnectResult.REFUSED);
        Assertions.assertEquals(0, window.openCharges());
    }
}
