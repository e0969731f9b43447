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

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogMessage;
import org.hallwall.log.LogRole;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogTiming;
import org.hallwall.log.LogVoter;
import org.hallwall.log.LogVoterConfig;
import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationDocument;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against stale reads from a leader whose machine was suspended: by its clock it still holds the lease although another leader
 * has been elected and has accepted a change.
 */
class SuspendedLeaderTest {

    private static final int VOTERS = 3;
    private static final int TIMEOUT_SECONDS = 20;

    private final List<Node> nodes = new ArrayList<>();

    @TempDir
    private Path folder;

    @BeforeEach
    void start() throws Exception {
        List<InstanceId> ids = List.of(new InstanceId("c-0"), new InstanceId("c-1"), new InstanceId("c-2"));
        for (InstanceId id : ids) {
            nodes.add(new Node(id, ids, folder.resolve(id.value())));
        }
        nodes.forEach(n -> n.voter.start());
    }

    @AfterEach
    void stop() {
        nodes.forEach(n -> n.voter.close());
    }

    private Node leaderAmong(List<Node> some) {
        return Awaitility.await()
                .atMost(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .until(
                        () -> some.stream()
                                .filter(n -> n.voter.holdsLease())
                                .findFirst()
                                .orElse(null),
                        n -> n != null);
    }

    private static void accept(Node leader, long version) {
        ConfigurationReply r = leader.service.put(bytes(version)).block();
        Assertions.assertEquals(new ConfigurationReply.Accepted(version), r);
    }

    private static byte[] bytes(long version) {
        return Long.toString(version).getBytes(StandardCharsets.UTF_8);
    }

    private static long versionOf(ConfigurationReply r) {
        return r instanceof ConfigurationReply.Content c
                ? Long.parseLong(new String(c.bytes(), StandardCharsets.UTF_8))
                : 0;
    }

    @Test
    void aSuspendedLeaderServesNoStaleConfiguration() {
        Node first = leaderAmong(nodes);
        accept(first, 1);
        Assertions.assertEquals(1, versionOf(first.service.get().block()));
        first.suspended = true;
        first.stoppedAt = Ticker.SYSTEM.millis();

        List<Node> others = nodes.stream().filter(n -> n != first).toList();
        accept(leaderAmong(others), 2);

        Assertions.assertEquals(
                LogRole.LEADER, first.voter.state().role(), "the first leader does not know the second one yet");
        Assertions.assertEquals(0, versionOf(first.service.get().block()), "stale read from the first leader");
        Assertions.assertNotEquals(
                new ConfigurationReply.Accepted(1),
                first.service.put(bytes(1)).block(),
                "version that the first leader already has");

        first.suspended = false;
        Awaitility.await()
                .atMost(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .until(() -> first.service.get().block() instanceof ConfigurationReply.Redirect);
        Assertions.assertEquals(2, versionOf(leaderAmong(others).service.get().block()));
    }

    private final class Node {

        private final LogVoter voter;
        private final ConfigurationService service;
        private volatile boolean suspended;
        private volatile long stoppedAt;

        Node(InstanceId id, List<InstanceId> ids, Path disk) throws Exception {
            LogStore.form(disk);
            ConfigurationStateMachine machine = new ConfigurationStateMachine(() -> {});
            voter = new LogVoter(
                    new LogVoterConfig(id, ids, LogTiming.DEFAULT),
                    LogStore.open(disk),
                    machine,
                    this::send,
                    this::clock,
                    new Random(id.hashCode()),
                    () -> {});
            service = new ConfigurationService(
                    id,
                    voter,
                    machine,
                    new ConfigurationDocuments(machine, SuspendedLeaderTest::read),
                    other -> new NetAddress("127.0.0.1", 9));
        }

        /** Returns the monotonic clock, which stops for good at the suspension. */
        private long clock() {
            return stoppedAt == 0 ? Ticker.SYSTEM.millis() : stoppedAt;
        }

        private void send(InstanceId to, LogMessage message) {
            Node other = nodes.get(Integer.parseInt(to.value().substring(2)));
            if (!suspended && !other.suspended) {
                other.voter.receive(message);
            }
        }
    }

    private static Configuration read(ConfigurationDocument document) {
        long version = Long.parseLong(new String(document.bytes(), StandardCharsets.UTF_8));
        return new Configuration(
                version, List.of(), Map.of(), List.of(), new CallerLimits(2_000, 10_000, 1_000, 1_000));
    }
}
