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

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.awaitility.Awaitility;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.config.TargetService;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.group.ControllerTiming;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.permit.PermitAllocator;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.TargetRecord;

/** A single control instance that leads, a weight store with two concurrent loads, and engines that exist as announcements only. */
final class ControlFixture implements Closeable {

    static final Duration TIMEOUT = Duration.ofSeconds(10);
    /** Longer than a test, so that no target becomes silent. */
    private static final long HEARTBEAT_MILLIS = 60_000;

    private final ControlNode node;

    ControlFixture(Path folder, List<EngineModel> models, TargetGateway gateway) throws IOException {
        ControlMember self = new ControlMember(
                new InstanceId("127.0.0.1"),
                new NetAddress("127.0.0.1", freePort()),
                new NetAddress("127.0.0.1", freePort()));
        EngineSpec spec = new EngineSpec(18, models, 50, 2, 2.5, 300);
        Configuration configuration = new Configuration(
                1, List.of(), Map.of("llm", new TargetService("llm", 100, spec)), List.of(), CallerLimits.DEFAULT);
        node = new ControlNode(
                new ControlNodeSettings(
                        "test",
                        self,
                        self.peer(),
                        folder,
                        true,
                        List.of(self),
                        0,
                        new ControllerTiming(HEARTBEAT_MILLIS, 1_000, false, 0),
                        Mechanisms.ALL),
                document -> configuration,
                new PermitAllocator(Ticker.SYSTEM, 0));
        node.start(gateway);
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> node.configurationService().put(new byte[] {1}).block(TIMEOUT)
                        instanceof ConfigurationReply.Accepted);
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    void announce(int n, long sequence, String model, List<String> staged, GroupMembership membership) {
        node.announce(new TargetRecord(
                new InstanceId("i-" + n),
                sequence,
                "llm",
                new NetAddress("127.0.0.1", 1),
                "a",
                18,
                TargetRecord.Presence.SERVING,
                "d0",
                model,
                staged,
                membership));
    }

    @Override
    public void close() {
        node.close();
    }
}
