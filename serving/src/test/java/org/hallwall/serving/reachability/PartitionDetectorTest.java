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
package org.hallwall.serving.reachability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.embedded.EmbeddedChannel;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Mono;

/**
 * A single failed connection is no partition; a process that reaches none of several targets is partitioned until it
 * reaches one.
 */
class PartitionDetectorTest {

    private static final int TARGETS = 9;
    private static final int DOMAINS = 3;
    private static final long PROBE_TIMEOUT_MILLIS = 200;
    private static final long SUSPICION_MILLIS = 80;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<TargetEndpoint> targets = new ArrayList<>();
    private final Set<NetAddress> failing = new HashSet<>();
    private final List<NetAddress> probed = new ArrayList<>();
    private ConnectResult failure = ConnectResult.NO_RESPONSE;
    private long now = 100_000;
    private int changes;
    private final TargetReachability reachability = new TargetReachability(() -> now);
    private final PartitionDetector detector = new PartitionDetector(
            () -> targets, this::connect, reachability, channel.eventLoop(), new Random(1), () -> now);

    PartitionDetectorTest() {
        for (int i = 0; i < TARGETS; i++) {
            targets.add(new TargetEndpoint(
                    new InstanceId("i-" + i), new NetAddress("10.0.0." + (i + 1), 80), "d" + i % DOMAINS));
        }
        channel.freezeTime();
        detector.setListener(() -> changes++);
    }

    private Mono<ConnectResult> connect(NetAddress address, Duration timeout) {
        probed.add(address);
        Mono<ConnectResult> failed = failure == ConnectResult.REFUSED
                ? Mono.just(failure)
                : Mono.<ConnectResult>create(sink -> channel.eventLoop()
                        .schedule(() -> sink.success(failure), timeout.toMillis(), TimeUnit.MILLISECONDS));
        return failing.contains(address) ? failed : Mono.just(ConnectResult.CONNECTED);
    }

    private void cutAll() {
        targets.forEach(t -> failing.add(t.address()));
    }

    /** Advances the clock in small steps, since tasks schedule further tasks. */
    private void elapse(long millis) {
        channel.runPendingTasks();
        for (long elapsed = 0; elapsed < millis; elapsed++) {
            now++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
        channel.runPendingTasks();
    }

    @ParameterizedTest
    @EnumSource(
            value = ConnectResult.class,
            names = {"REFUSED", "NO_RESPONSE"})
    void aProcessThatReachesNoTargetIsPartitionedUntilItReachesOne(ConnectResult how) {
        failure = how;
        cutAll();
        detector.suspect();
        elapse(PROBE_TIMEOUT_MILLIS);
        Assertions.assertTrue(detector.isPartitioned());
        elapse(1_000);
        Assertions.assertTrue(detector.isPartitioned());
        failing.clear();
        elapse(500);
        Assertions.assertFalse(detector.isPartitioned());
        Assertions.assertEquals(2, changes);
    }

    @Test
    void failedTargetsAreNoPartition() {
        // two of three targets fail in every failure domain
        targets.stream().limit(TARGETS - DOMAINS).forEach(t -> failing.add(t.address()));
        for (int i = 0; i < 20; i++) {
            detector.suspect();
            elapse(1_500);
        }
        Assertions.assertTrue(changes % 2 == 0, "a wrong assumption is corrected");
        Assertions.assertFalse(detector.isPartitioned());
    }

    @Test
    void targetsOfAllFailureDomainsAreProbed() {
        detector.suspect();
        Set<String> domains = targets.stream()
                .filter(t -> probed.contains(t.address()))
                .map(TargetEndpoint::failureDomain)
                .collect(Collectors.toSet());
        Assertions.assertFalse(domains.isEmpty());
        cutAll();
        probed.clear();
        elapse(1_500);
        detector.suspect();
        domains = targets.stream()
                .filter(t -> probed.contains(t.address()))
                .map(TargetEndpoint::failureDomain)
                .collect(Collectors.toSet());
        Assertions.assertEquals(DOMAINS, domains.size());
    }

    @Test
    void suspicionsAreVerifiedAtMostOnceASecond() {
        for (int i = 0; i < 100; i++) {
            detector.suspect();
            elapse(10);
        }
        Assertions.assertTrue(probed.size() <= 2 * DOMAINS, () -> probed.size() + " probes in a second");
    }

    @Test
    void aSlowConnectionIsSuspiciousUnlessItIsEstablished() {
        detector.suspectUnlessConnected().cancel(false);
        elapse(SUSPICION_MILLIS);
        Assertions.assertEquals(List.of(), probed);
        detector.suspectUnlessConnected();
        elapse(SUSPICION_MILLIS);
        Assertions.assertFalse(probed.isEmpty());
    }

    @Test
    void theSilenceOfOneTargetIsNotSuspiciousWhileOthersSend() {
        for (int i = 0; i < 100; i++) {
            detector.recordReceived();
            elapse(50);
            detector.suspectSilence();
        }
        Assertions.assertEquals(List.of(), probed);
        elapse(101);
        detector.suspectSilence();
        Assertions.assertFalse(probed.isEmpty());
    }

    @Test
    void aPartitionEndsWhenThereAreNoTargets() {
        cutAll();
        detector.suspect();
        elapse(PROBE_TIMEOUT_MILLIS);
        Assertions.assertTrue(detector.isPartitioned());
        targets.clear();
        elapse(500);
        Assertions.assertFalse(detector.isPartitioned());
    }
}
