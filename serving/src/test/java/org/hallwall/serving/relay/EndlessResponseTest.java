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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against responses that never end: an entry reads a bounded part, closes the connection, and responds with another target's
 * response or a refusal.
 */
class EndlessResponseTest {

    private static final String STAMP = "X-Attempt: ATTEMPT\r\nX-Stamp: s\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n" + STAMP;
    private static final String WHOLE = OK + "Content-Length: 5\r\n\r\nhello";
    private static final String EVENTS = OK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PART = "x".repeat(65_536);
    /** Limit of a body, and what fits into the buffers of a connection, in bytes. */
    private static final long MAX_READ_BYTES = BufferedResponse.MAX_BODY_BYTES + 8L * 1024 * 1024;
    /** Where a target that is still read gives up, in bytes. */
    private static final long ENDLESS_BYTES = 64L * 1024 * 1024;
    /** A response must not have to wait for the route's timeout of 4 s. */
    private static final long SOON_MILLIS = 3_500;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture entry;
    private RelayFixture helper;

    /** Parts of a response without an end. */
    private enum Endless {
        NO_LENGTH(OK + "\r\n", PART),
        CHUNKED(OK + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + PART + "\r\n"),
        FALSE_LENGTH(OK + "Content-Length: 400000000\r\n\r\n", PART),
        ERROR("HTTP/1.1 500 Failed\r\n" + STAMP + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + PART + "\r\n"),
        HEADERS(OK, "X-Filler: " + PART.substring(32_768) + "\r\n"),
        EVENT(EVENTS, "10000\r\n" + PART + "\r\n");

        private final String head;
        private final String part;

        Endless(String head, String part) {
            this.head = head;
            this.part = part;
        }
    }

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture();
        helper = new RelayFixture();
    }

    @AfterEach
    void close() {
        entry.close();
        helper.close();
        targets.forEach(ScriptedTarget::close);
    }

    private ScriptedTarget target(RelayFixture sender, ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        sender.add("app", "i-app" + targets.size(), t.port());
        sender.add("llm", "i-llm" + targets.size(), t.port());
        return t;
    }

    private void sendEndlessly(Endless kind, ScriptedTarget.Connection c) throws IOException {
        c.send(kind.head);
        while (sentBytes.get() < ENDLESS_BYTES) {
            c.send(kind.part);
            sentBytes.addAndGet(kind.part.length());
        }
        c.end();
    }

    private HttpResponse<String> send(String route) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/" + route + "/x"))
                        .header("X-Attempt", "attempt-1")
                        .header("X-Model", "m")
                        .header("X-Key", "secret")
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> sendSoon(String route) throws Exception {
        long start = System.nanoTime();
        HttpResponse<String> r = send(route);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        Assertions.assertTrue(millis < SOON_MILLIS, r.statusCode() + " after " + millis + " ms");
        return r;
    }

    private void assertReadingEnded() throws InterruptedException {
        for (ScriptedTarget t : targets) {
            if (!t.requests().isEmpty()) {
                Assertions.assertTrue(t.closedByCaller().await(5, TimeUnit.SECONDS), "the connection was not closed");
            }
        }
        Assertions.assertTrue(
                sentBytes.get() <= MAX_READ_BYTES * targets.size(), () -> sentBytes.get() + " bytes were read");
    }

    @ParameterizedTest
    @EnumSource(Endless.class)
    void requestThatMayNotBeRepeatedIsRefused(Endless kind) throws Exception {
        target(entry, (r, c) -> sendEndlessly(kind, c));
        HttpResponse<String> r = sendSoon("non_idempotent");
        Assertions.assertEquals(502, r.statusCode(), r::body);
        assertReadingEnded();
    }

    @ParameterizedTest
    @EnumSource(Endless.class)
    void idempotentRequestIsRepeatedAtMostOnce(Endless kind) throws Exception {
        target(entry, (r, c) -> sendEndlessly(kind, c));
        target(entry, (r, c) -> sendEndlessly(kind, c));
        HttpResponse<String> r = sendSoon("idempotent");
        Assertions.assertEquals(502, r.statusCode(), r::body);
        assertReadingEnded();
    }

    @ParameterizedTest
    @EnumSource(Endless.class)
    void idempotentRequestGetsTheResponseOfAnotherTarget(Endless kind) throws Exception {
        AtomicLong runs = new AtomicLong();
        for (int i = 0; i < 2; i++) {
            target(entry, (r, c) -> {
                if (runs.incrementAndGet() == 1) {
                    sendEndlessly(kind, c);
                } else {
                    c.send(WHOLE);
                }
            });
        }
        HttpResponse<String> r = sendSoon("idempotent");
        Assertions.assertEquals(200, r.statusCode(), r::body);
        Assertions.assertEquals("hello", r.body());
        Assertions.assertTrue(sentBytes.get() <= MAX_READ_BYTES, () -> sentBytes.get() + " bytes were read");
    }

    @ParameterizedTest
    @EnumSource(Endless.class)
    void streamRequestIsRefused(Endless kind) throws Exception {
        target(entry, (r, c) -> sendEndlessly(kind, c));
        HttpResponse<String> r = sendSoon("stream");
        Assertions.assertEquals(502, r.statusCode(), r::body);
        assertReadingEnded();
    }

    @ParameterizedTest
    @CsvSource({
        "non_idempotent, NO_LENGTH",
        "non_idempotent, CHUNKED",
        "non_idempotent, FALSE_LENGTH",
        "idempotent, CHUNKED",
        "stream, ERROR",
        "stream, NO_LENGTH"
    })
    void forwardedRequestIsRefused(String route, Endless kind) throws Exception {
        try (ServerSocket closed = new ServerSocket(0)) {
            entry.add("app", "i-closed-app", closed.getLocalPort());
            entry.add("llm", "i-closed-llm", closed.getLocalPort());
        }
        entry.addEntry("helper", helper);
        target(helper, (r, c) -> sendEndlessly(kind, c));
        HttpResponse<String> r = sendSoon(route);
        Assertions.assertEquals(502, r.statusCode(), r::body);
        assertReadingEnded();
    }

    @Test
    void responseOfTheMaximumSizeIsRelayed() throws Exception {
        int size = BufferedResponse.MAX_BODY_BYTES;
        target(entry, (r, c) -> c.send(OK + "Content-Length: " + size + "\r\n\r\n" + "y".repeat(size)));
        HttpResponse<String> r = send("non_idempotent");
        Assertions.assertEquals(200, r.statusCode());
        Assertions.assertEquals(size, r.body().length());
    }
}
