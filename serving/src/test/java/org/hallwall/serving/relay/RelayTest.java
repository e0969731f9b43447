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
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.hallwall.serving.target.GroupLiveness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A request gets its own complete response or an explicit refusal, whatever its target does. */
class RelayTest {

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Full\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String EVENTS = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture relay;

    @BeforeEach
    void open() throws Exception {
        relay = new RelayFixture();
    }

    @AfterEach
    void close() {
        relay.close();
        targets.forEach(ScriptedTarget::close);
    }

    private ScriptedTarget target(String service, ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        relay.add(service, "i-" + targets.size(), t.port());
        return t;
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + path))
                .timeout(Duration.ofSeconds(10))
                .header("X-Attempt", "attempt-1")
                .header("X-Model", "m")
                .header("X-Key", "secret");
    }

    private HttpResponse<String> get(String path) throws Exception {
        return client.send(request(path).build(), HttpResponse.BodyHandlers.ofString());
    }

    private int runs() {
        return targets.stream().mapToInt(t -> t.requests().size()).sum();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: " + id + "\n\n";
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/idempotent/a%2Fb?x=%20y&z=a+b",
                "/idempotent/..;a=b/c",
                "/idempotent/%E2%82%AC?q",
                "/idempotent/a:b@c,d"
            })
    void requestIsForwardedUnmodified(String path) throws Exception {
        ScriptedTarget t = target("app", (r, c) -> c.send(WHOLE));
        HttpResponse<String> a = client.send(
                request(path).POST(HttpRequest.BodyPublishers.ofString("body")).build(),
                HttpResponse.BodyHandlers.ofString());
        Assertions.assertEquals("hello", a.body());
        Assertions.assertEquals("s", a.headers().firstValue("X-Stamp").orElseThrow());
        ScriptedTarget.Request r = t.requests().get(0);
        Assertions.assertEquals("POST " + path + " HTTP/1.1", r.line());
        Assertions.assertEquals("body", r.body());
        Assertions.assertEquals("w", r.headers().get("x-workspace"));
        Assertions.assertEquals("i-1", r.headers().get("x-expected"));
        Assertions.assertNull(r.headers().get("x-key"));
        Assertions.assertTrue(Integer.parseInt(r.headers().get("x-deadline")) <= 4_000);
    }

    @ParameterizedTest
    @CsvSource({"idempotent, 200, 2", "non_idempotent, 502, 1"})
    void connectionResetIsRetriedOnlyForIdempotentRequests(String kind, int status, int runs) throws Exception {
        target("app", (r, c) -> c.reset());
        target("app", (r, c) -> {
            if (runs == 1) {
                c.reset();
            } else {
                c.send(WHOLE);
            }
        });
        // the first target is selected at random
        int actualStatus = get("/" + kind + "/x").statusCode();
        Assertions.assertEquals(status, actualStatus);
        Assertions.assertTrue(runs() <= runs);
    }

    @ParameterizedTest
    @ValueSource(strings = {"idempotent", "non_idempotent"})
    void requestThatHasNotRunIsRetriedAtAnotherTarget(String kind) throws Exception {
        target("app", (r, c) -> c.send(NOT_RUN));
        target("app", (r, c) -> c.send(WHOLE));
        for (int i = 0; i < 5; i++) {
            Assertions.assertEquals(200, get("/" + kind + "/x").statusCode());
        }
    }

    /** Attempts at unreachable targets are not charged to the retry budget, and their heads are reported. */
    @ParameterizedTest
    @CsvSource({"non_idempotent, app, 0", "stream, llm, 1"})
    void unsentRequestIsRetriedWithoutCharge(String kind, String service, int reports) throws Exception {
        relay.close();
        relay = new RelayFixture(0);
        target(service, (r, c) -> {
            if (service.equals("app")) {
                c.send(WHOLE);
            } else {
                c.send(EVENTS).chunk(event(1)).send(LAST_CHUNK);
            }
        });
        for (int i = 0; i < 20; i++) {
            // each request may select an unreachable target that has not been tried before
            ScriptedTarget unreachable = new ScriptedTarget((r, c) -> {});
            unreachable.close();
            relay.add(service, "gone-" + i, unreachable.port());
            Assertions.assertEquals(200, get("/" + kind + "/x").statusCode());
            relay.remove("gone-" + i);
        }
        Assertions.assertTrue(relay.stalledHeads().size() >= reports);
    }

    @Test
    void requestThatHasNotRunIsRefusedWithRetryAfter() throws Exception {
        target("app", (r, c) -> c.send(NOT_RUN));
        HttpResponse<String> a = get("/non_idempotent/x");
        Assertions.assertEquals(503, a.statusCode());
        Assertions.assertTrue(
                Double.parseDouble(a.headers().firstValue("Retry-After").orElseThrow()) > 0);
    }

    @ParameterizedTest
    @CsvSource({"X-Attempt: another", "X-Nothing: here"})
    void responseToAnotherRequestIsNotForwarded(String header) throws Exception {
        target("app", (r, c) -> c.send("HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 6\r\n\r\ntheirs"));
        HttpResponse<String> a = get("/non_idempotent/x");
        Assertions.assertEquals(502, a.statusCode());
        Assertions.assertFalse(a.body().contains("theirs"));
    }

    @Test
    void surplusResponseIsNotMatchedToTheNextRequest() throws Exception {
        target("app", (r, c) -> c.send(WHOLE).send(WHOLE));
        for (int i = 0; i < 5; i++) {
            HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + "/non_idempotent/x"))
                    .header("X-Attempt", "attempt-" + i)
                    .header("X-Key", "secret")
                    .build();
            HttpResponse<String> a = client.send(r, HttpResponse.BodyHandlers.ofString());
            String attempt = a.headers().firstValue("X-Attempt").orElse("none");
            Assertions.assertTrue(a.statusCode() == 502 || attempt.equals("attempt-" + i), attempt);
        }
    }

    @Test
    void truncatedResponseIsNotForwarded() throws Exception {
        target(
                "app",
                (r, c) -> c.send("HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Length: 500\r\n\r\nhello")
                        .end());
        Assertions.assertEquals(502, get("/non_idempotent/x").statusCode());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "id: 3\nda"})
    void brokenStreamIsResumedAfterTheLastCompleteEvent(String part) throws Exception {
        ScriptedTarget.Script script = (r, c) -> {
            String last = r.headers().get("last-event-id");
            c.send(EVENTS);
            if (last == null) {
                c.chunk(event(1)).chunk(event(2) + part).reset();
            } else {
                int from = Integer.parseInt(last) + 1;
                c.chunk(event(from)).chunk(event(from + 1)).send(LAST_CHUNK);
            }
        };
        target("llm", script);
        target("llm", script);
        HttpResponse<String> a = get("/stream/x");
        Assertions.assertEquals(200, a.statusCode());
        Assertions.assertEquals(event(1) + event(2) + event(3) + event(4), a.body());
    }

    @Test
    void streamThatCannotBeResumedEndsWithAnError() throws Exception {
        target("llm", (r, c) -> c.send(EVENTS).chunk(event(1)).chunk(event(2)).reset());
        Assertions.assertThrows(IOException.class, () -> get("/stream/x"));
    }

    @Test
    void stalledStreamIsMovedAndTheHeadIsReported() throws Exception {
        ScriptedTarget.Script script = (r, c) -> {
            String last = r.headers().get("last-event-id");
            c.send(EVENTS);
            if (last == null) {
                c.chunk(event(1)).awaitClose();
            } else {
                c.chunk(event(2)).send(LAST_CHUNK);
            }
        };
        target("llm", script);
        target("llm", script);
        HttpResponse<String> a = get("/stream/x");
        Assertions.assertEquals(event(1) + event(2), a.body());
        Assertions.assertEquals(1, relay.stalledHeads().size());
    }

    /** A busy head is as silent as one that has lost a member; its streams must not be moved. */
    @ParameterizedTest
    @CsvSource({"WORKING, 1", "LOST, 2", "UNKNOWN, 2"})
    void stalledStreamStaysWithABusyHead(GroupLiveness liveness, int runs) throws Exception {
        relay.setLiveness(liveness);
        ScriptedTarget.Script script = (r, c) -> {
            c.send(EVENTS);
            if (r.headers().get("last-event-id") == null) {
                c.chunk(event(1));
                if (liveness != GroupLiveness.WORKING) {
                    c.awaitClose();
                    return;
                }
                Awaitility.await().until(() -> !relay.stalledHeads().isEmpty());
            }
            c.chunk(event(2)).send(LAST_CHUNK);
        };
        target("llm", script);
        target("llm", script);
        Assertions.assertEquals(event(1) + event(2), get("/stream/x").body());
        Assertions.assertEquals(runs, runs());
        Assertions.assertEquals(1, relay.stalledHeads().size());
    }

    @Test
    void streamIsCancelledWhenTheClientDisconnects() throws Exception {
        ScriptedTarget t =
                target("llm", (r, c) -> c.send(EVENTS).chunk(event(1)).awaitClose());
        try (java.net.Socket clientSocket = new java.net.Socket("127.0.0.1", relay.port())) {
            String head = "GET /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt: a\r\nX-Key: secret\r\n\r\n";
            clientSocket.getOutputStream().write(head.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            Awaitility.await().until(() -> !t.requests().isEmpty());
        }
        Assertions.assertTrue(t.closedByCaller().await(5, TimeUnit.SECONDS));
        Awaitility.await().until(() -> relay.inFlight() == 0);
    }

    @Test
    void bufferedRequestIsCancelledWhenTheClientDisconnects() throws Exception {
        ScriptedTarget t = target("app", (r, c) -> c.awaitClose());
        try (java.net.Socket clientSocket = new java.net.Socket("127.0.0.1", relay.port())) {
            String head = "GET /non_idempotent/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt: a\r\nX-Key: secret\r\n\r\n";
            clientSocket.getOutputStream().write(head.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            Awaitility.await().until(() -> !t.requests().isEmpty());
        }
        Assertions.assertTrue(t.closedByCaller().await(5, TimeUnit.SECONDS));
        Awaitility.await().until(() -> relay.inFlight() == 0);
    }

    /** Requests in flight complete; later ones on open connections are refused, since they could not complete. */
    @Test
    void drainingEntryCompletesRequestsInFlightAndRefusesNewOnes() throws Exception {
        java.util.concurrent.CountDownLatch go = new java.util.concurrent.CountDownLatch(1);
        ScriptedTarget t = target("app", (r, c) -> {
            try {
                go.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            c.send(WHOLE);
        });
        java.util.concurrent.CompletableFuture<HttpResponse<String>> first =
                client.sendAsync(request("/non_idempotent/x").build(), HttpResponse.BodyHandlers.ofString());
        Awaitility.await().until(() -> !t.requests().isEmpty());
        relay.server().beginDrain();
        relay.server().rejectNewRequests();
        HttpResponse<String> second = get("/non_idempotent/y");
        Assertions.assertEquals(503, second.statusCode());
        Assertions.assertEquals(
                "close", second.headers().firstValue("Connection").orElse(""));
        go.countDown();
        Assertions.assertEquals("hello", first.get(10, TimeUnit.SECONDS).body());
        Assertions.assertEquals(1, t.requests().size());
    }

    @ParameterizedTest
    @CsvSource({"/nowhere/x, secret, 404", "/idempotent/x, wrong, 401", "/stream/x, secret, 503"})
    void refusalsHaveSpecificStatusCodes(String path, String key, int status) throws Exception {
        HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + path))
                .header("X-Attempt", "a")
                .header("X-Key", key)
                .build();
        Assertions.assertEquals(
                status, client.send(r, HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    @ParameterizedTest
    @CsvSource({"10000, 200", "10001, 413"})
    void largeBodiesAreRefused(int bytes, int status) throws Exception {
        target("app", (r, c) -> c.send(WHOLE));
        HttpRequest r = request("/idempotent/x")
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]))
                .build();
        Assertions.assertEquals(
                status, client.send(r, HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    @Test
    void largeHeadsAreRefused() throws Exception {
        HttpRequest r =
                request("/idempotent/x").header("X-Large", "x".repeat(2_000)).build();
        Assertions.assertEquals(
                431, client.send(r, HttpResponse.BodyHandlers.ofString()).statusCode());
    }
}
