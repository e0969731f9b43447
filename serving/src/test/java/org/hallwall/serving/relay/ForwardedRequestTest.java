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

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A request that an entry forwards to another one keeps all promises: it is sent once, by one hop, within its deadline, and its caller
 * learns whether it may have run.
 */
class ForwardedRequestTest {

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String EVENTS = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String BACKS_OFF =
            "HTTP/1.1 503 Busy\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nRetry-After: 2\r\n"
                    + "Content-Length: 0\r\n\r\n";

    private static final long DEADLINE_MILLIS = 3_000;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger attemptCount = new AtomicInteger();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture partitioned;
    private RelayFixture helper;

    @BeforeEach
    void open() throws Exception {
        partitioned = new RelayFixture();
        helper = new RelayFixture();
        int closedPort = closedPort();
        partitioned.add("app", "i-app", closedPort);
        partitioned.add("llm", "i-llm", closedPort);
        partitioned.addEntry("helper", helper);
    }

    @AfterEach
    void close() {
        partitioned.close();
        helper.close();
        targets.forEach(ScriptedTarget::close);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    private ScriptedTarget target(ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        helper.add("app", "i-app" + targets.size(), t.port());
        helper.add("llm", "i-llm" + targets.size(), t.port());
        return t;
    }

    private static ScriptedTarget.Script serving() {
        return (r, c) -> {
            if (r.line().contains("/stream/")) {
                c.send(EVENTS).chunk("id: 1\ndata: 1\n\n").send(LAST_CHUNK);
            } else {
                c.send(WHOLE);
            }
        };
    }

    private CompletableFuture<HttpResponse<String>> send(String kind, String... headers) {
        HttpRequest.Builder r = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + partitioned.port() + "/" + kind + "/x?y=1"))
                .timeout(Duration.ofSeconds(10))
                .POST(HttpRequest.BodyPublishers.ofString("content"))
                .header("X-Attempt", "attempt-" + attemptCount.incrementAndGet())
                .header("X-Deadline", Long.toString(DEADLINE_MILLIS))
                .header("X-Model", "m")
                .header("X-Key", "secret");
        for (int i = 0; i < headers.length; i += 2) {
            r.header(headers[i], headers[i + 1]);
        }
        return client.sendAsync(r.build(), HttpResponse.BodyHandlers.ofString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"idempotent", "non_idempotent", "stream"})
    void targetsGetTheRequestAsTheCallerSentIt(String kind) throws Exception {
        ScriptedTarget t = target(serving());
        HttpResponse<String> got = send(kind).join();
        Assertions.assertEquals(200, got.statusCode(), got.body());
        Assertions.assertEquals("s", got.headers().firstValue("X-Stamp").orElse(null));
        Assertions.assertEquals(1, t.requests().size());
        ScriptedTarget.Request r = t.requests().get(0);
        Assertions.assertEquals("POST /" + kind + "/x?y=1 HTTP/1.1", r.line());
        Assertions.assertEquals("content", r.body());
        Assertions.assertEquals("attempt-1", r.headers().get("x-attempt"));
        Assertions.assertEquals("w", r.headers().get("x-workspace"));
        Assertions.assertNull(r.headers().get("x-key"));
        Assertions.assertTrue(r.headers().get("x-expected").startsWith("i-"));
        Assertions.assertTrue(Long.parseLong(r.headers().get("x-deadline")) <= DEADLINE_MILLIS);
        Assertions.assertTrue(
                r.headers().keySet().stream().noneMatch(h -> h.startsWith("hallwall-")),
                () -> "internal headers: " + r.headers());
    }

    @Test
    void callersCannotUseTheHeadersOfEntries() throws Exception {
        ScriptedTarget t = target(serving());
        HttpResponse<String> got = send("idempotent", "Hallwall-Forward-Sender", "e", "Hallwall-Forward-Service", "llm")
                .join();
        Assertions.assertEquals(200, got.statusCode(), got.body());
        Assertions.assertTrue(
                t.requests().get(0).headers().keySet().stream().noneMatch(h -> h.startsWith("hallwall-")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"idempotent", "non_idempotent", "stream"})
    void aRefusalOfTheOtherEntryReachesTheCallerWithItsTime(String kind) throws Exception {
        target((r, c) -> c.send(BACKS_OFF));
        HttpResponse<String> got = send(kind).join();
        Assertions.assertEquals(503, got.statusCode(), got.body());
        double seconds =
                Double.parseDouble(got.headers().firstValue("Retry-After").orElseThrow());
        Assertions.assertTrue(seconds > 1 && seconds <= 2.5, () -> "Retry-After " + seconds);
    }

    @Test
    void aRequestThatMayHaveRunIsNotSentAgain() throws Exception {
        ScriptedTarget t = target((r, c) -> c.reset());
        ScriptedTarget other = target((r, c) -> c.reset());
        HttpResponse<String> got = send("non_idempotent").join();
        Assertions.assertEquals(502, got.statusCode(), got.body());
        Assertions.assertEquals(1, t.requests().size() + other.requests().size());
    }

    @Test
    void anEntryThatIsPartitionedItselfForwardsNothing() throws Exception {
        helper.add("app", "i-app", closedPort());
        helper.addEntry("first", partitioned);
        HttpResponse<String> got = send("non_idempotent").join();
        Assertions.assertEquals(503, got.statusCode(), got.body());
        Assertions.assertTrue(got.headers().firstValue("Retry-After").isPresent());
    }

    @Test
    void anEntryWithAnEarlierConfigurationIsNotUsed() throws Exception {
        ScriptedTarget t = target(serving());
        partitioned.updateConfiguration(2);
        Assertions.assertEquals(503, send("idempotent").join().statusCode());
        Assertions.assertEquals(List.of(), t.requests());
        helper.updateConfiguration(2);
        Assertions.assertEquals(200, send("idempotent").join().statusCode());
    }

    @Test
    void aCallerThatLeavesEndsTheRequestAtTheTarget() throws Exception {
        ScriptedTarget t = target((r, c) -> {
            c.send(EVENTS).chunk("id: 1\ndata: 1\n\n");
            c.awaitClose();
        });
        HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + partitioned.port() + "/stream/x"))
                .header("X-Attempt", "leaves")
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .build();
        HttpResponse<java.io.InputStream> got = client.send(r, HttpResponse.BodyHandlers.ofInputStream());
        Assertions.assertEquals('i', got.body().read());
        got.body().close();
        Assertions.assertTrue(t.closedByCaller().await(2, TimeUnit.SECONDS));
    }

    @Test
    void aStreamContinuesAtAnotherEntryWhenTheFirstOneIsLost() throws Exception {
        try (RelayFixture second = new RelayFixture()) {
            ScriptedTarget t = target((r, c) -> {
                c.send(EVENTS);
                if (r.headers().get("last-event-id") == null) {
                    c.chunk("id: 1\ndata: 1\n\n");
                    partitioned.addEntry("second", second);
                    helper.close();
                } else {
                    c.chunk("id: 2\ndata: 2\n\n").send(LAST_CHUNK);
                }
            });
            second.add("llm", "i-llm1", t.port());
            Assertions.assertEquals(
                    "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n",
                    send("stream").join().body());
        }
    }
}
