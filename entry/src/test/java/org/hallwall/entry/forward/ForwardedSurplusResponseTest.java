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
package org.hallwall.entry.forward;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.fakes.FakeStutteringServer;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Guards against a surplus response of another entry that a caller gets in place of the response to its own request. */
class ForwardedSurplusResponseTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int SERIES = 12;

    private final HttpClient caller =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static int status(int run) {
        return run % 3 == 0 ? 500 : 200;
    }

    private static String response(int status, String requestLine) {
        return FakeStutteringServer.response(status, "application/json", status + " " + requestLine);
    }

    private static DisposableServer forwardTo(FakeStutteringServer other) {
        RequestForwarder forwarder = new RequestForwarder();
        RefusalException unreachable = new RefusalException(ProblemType.TARGET_UNREACHABLE, "unreachable");
        return HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle((req, res) ->
                        forwarder.forward(req, new byte[] {'x'}, 0, List.of(other.address()), unreachable, res))
                .bindNow();
    }

    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachForwardedRequestGetsItsOwnResponse(FakeStutteringServer.Timing timing) throws Exception {
        try (FakeStutteringServer other = new FakeStutteringServer(
                timing, (run, line) -> response(status(run), line), (run, line) -> response(700 - status(run), line))) {
            DisposableServer entry = forwardTo(other);
            for (int i = 1; i <= SERIES; i++) {
                HttpResponse<String> r = caller.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/r" + i))
                                .timeout(TIMEOUT)
                                .POST(HttpRequest.BodyPublishers.ofString("x"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
                Assertions.assertEquals(status(i) + " POST /r" + i + " HTTP/1.1", r.body());
                Assertions.assertEquals(status(i), r.statusCode());
                other.sendLateResponses();
            }
            Assertions.assertEquals(SERIES, other.requests());
            entry.disposeNow();
        }
    }
}
