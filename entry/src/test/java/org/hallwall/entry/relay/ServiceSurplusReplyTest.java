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
package org.hallwall.entry.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ServiceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.TargetDirectory;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.TargetLoad;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.exchange.RequestPriority;
import org.hallwall.entry.limit.RetryBudget;
import org.hallwall.fakes.FakeStutteringServer;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a surplus reply of a service, which ignores that its client closes connections, that is taken for the next reply. */
class ServiceSurplusReplyTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int SERIES = 12;
    private static final ServiceId SERVICE = new ServiceId("app");

    private static int status(int run) {
        return run % 3 == 0 ? 500 : 200;
    }

    private static String reply(int status, int run) {
        return FakeStutteringServer.response(status, "text/plain", status + " of run " + run);
    }

    private static ServiceRunner runner(FakeStutteringServer server) {
        TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
        directory.update(
                new Announcement(
                        new InstanceId("t"),
                        "boot",
                        1,
                        new FailureDomainId("d"),
                        null,
                        0,
                        server.address(),
                        true,
                        SERVICE,
                        null,
                        FencingToken.NONE,
                        null,
                        null,
                        List.of(),
                        null,
                        TargetLoad.NONE,
                        false),
                0);
        return new ServiceRunner(
                directory,
                DomainTiming.DEFAULT,
                new RetryBudget(),
                new RelayMetrics(new PrometheusRegistry()),
                Ticker.SYSTEM);
    }

    private static Exchange exchange() {
        RequestHeaders headers = new RequestHeaders(null, null, true, RequestPriority.NORMAL, 0, 0);
        return new Exchange(headers, null, false, Ticker.SYSTEM.millis(), TIMEOUT.toMillis());
    }

    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachCallGetsItsOwnReply(FakeStutteringServer.Timing timing) throws Exception {
        try (FakeStutteringServer server = new FakeStutteringServer(
                timing, (run, line) -> reply(status(run), run), (run, line) -> reply(700 - status(run), run))) {
            ServiceRunner runner = runner(server);
            for (int i = 1; i <= SERIES; i++) {
                ServiceReply reply = runner.run(exchange(), new ServiceCall(SERVICE, "GET", "/", null, new byte[0]))
                        .block(TIMEOUT);
                Assertions.assertEquals(status(i), reply.status(), "call " + i);
                Assertions.assertEquals(status(i) + " of run " + i, new String(reply.body(), StandardCharsets.UTF_8));
                server.sendLateResponses();
            }
            Assertions.assertEquals(SERIES, server.requests());
        }
    }
}
