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

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests of one service must not pay for retries of another, and a displaced target must not be selected again. Both
 * failures together
 * led to more retries of a service than its budget allows.
 */
class RetryBudgetIsolationTest {

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String REJECTED =
            "HTTP/1.1 503 Full\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String MISDIRECTED =
            "HTTP/1.1 421 Misdirected\r\nX-Attempt: ATTEMPT\r\nContent-Length: 0\r\n\r\n";
    private static final double RATIO = 0.2;
    private static final double EXTRA = 5;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture relay;

    @BeforeEach
    void open() throws Exception {
        relay = new RelayFixture(RATIO, EXTRA);
    }

    @AfterEach
    void close() {
        relay.close();
        targets.forEach(ScriptedTarget::close);
    }

    @Test
    void requestsOfOtherServicesDoNotPayForRetries() throws Exception {
        target("llm", WHOLE);
        List<ScriptedTarget> rejecting =
                List.of(target("app", REJECTED), target("app", REJECTED), target("app", REJECTED));
        int requests = 20;
        for (int i = 0; i < 100; i++) {
            Assertions.assertEquals(200, get("/stream/x"));
        }
        for (int i = 0; i < requests; i++) {
            Assertions.assertEquals(503, get("/idempotent/x"));
        }
        int retries = arrivals(rejecting) - requests;
        double allowed = RATIO * requests + EXTRA;
        Assertions.assertTrue(retries <= allowed, retries + " retries, allowed " + allowed);
    }

    @Test
    void displacedTargetIsNotSelectedAgain() throws Exception {
        ScriptedTarget successor = target("app", MISDIRECTED);
        target("app", WHOLE);
        target("app", WHOLE);
        for (int i = 0; i < 20; i++) {
            Assertions.assertEquals(200, get("/idempotent/x"));
        }
        int arrivals = arrivals(List.of(successor));
        Assertions.assertTrue(arrivals <= 1, arrivals + " requests for the displaced target");
    }

    private ScriptedTarget target(String service, String response) throws Exception {
        ScriptedTarget t = new ScriptedTarget((r, c) -> c.send(response));
        targets.add(t);
        relay.add(service, "i-" + targets.size(), t.port());
        return t;
    }

    private int get(String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + path))
                .header("X-Attempt", "attempt-1")
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    private static int arrivals(List<ScriptedTarget> targets) {
        return targets.stream().mapToInt(t -> t.requests().size()).sum();
    }
}
