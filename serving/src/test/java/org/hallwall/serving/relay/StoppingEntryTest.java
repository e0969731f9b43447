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
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that an entry accepts during its shutdown and then cuts off: requests that cannot complete are refused, and
 * what is still in progress at the end gets a response.
 */
class StoppingEntryTest {

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String EVENTS = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: 1\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Busy\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    /** The timeout of the routes. */
    private static final long ROUTE_TIMEOUT_MILLIS = 4_000;

    private static final long NOTICE_MILLIS = 600;
    private static final long STOP_MILLIS = 2_000;
    /** Less than the time until the end of the shutdown. */
    private static final long EARLY_DEADLINE_MILLIS = 1_500;
    /** The time until the end of a shutdown that a test waits for. */
    private static final long SHORT_STOP_MILLIS = 500;
    /** Less than the timeout of the routes. */
    private static final long RESPONSE_MILLIS = 3_000;

    private static final int EARLIER_REQUESTS = 20;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<RelayFixture> entries = new ArrayList<>();
    private final AtomicInteger attemptCount = new AtomicInteger();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture stopping;

    @BeforeEach
    void open() throws Exception {
        stopping = addEntry();
    }

    @AfterEach
    void close() {
        entries.forEach(RelayFixture::close);
        targets.forEach(ScriptedTarget::close);
    }

    private RelayFixture addEntry() throws Exception {
        RelayFixture entry = new RelayFixture();
        entries.add(entry);
        return entry;
    }

    /** Returns an entry without links to targets, which forwards its requests to others. */
    private RelayFixture addPartitioned(RelayFixture... helpers) throws Exception {
        RelayFixture entry = addEntry();
        try (ServerSocket closed = new ServerSocket(0)) {
            entry.add("app", "i-app", closed.getLocalPort());
            entry.add("llm", "i-llm", closed.getLocalPort());
        }
        for (RelayFixture helper : helpers) {
            entry.addEntry("helper" + entries.indexOf(helper), helper);
        }
        return entry;
    }

    private ScriptedTarget addTarget(RelayFixture entry, ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        entry.add("app", "i-app" + targets.size(), t.port());
        entry.add("llm", "i-llm" + targets.size(), t.port());
        return t;
    }

    private static void serve(ScriptedTarget.Request r, ScriptedTarget.Connection c) throws IOException {
        if (r.line().contains("/stream/")) {
            c.send(EVENTS).chunk(EVENT).send(LAST_CHUNK);
        } else {
            c.send(WHOLE);
        }
    }

    private static void hang(ScriptedTarget.Request r, ScriptedTarget.Connection c) throws IOException {
        c.awaitClose();
    }

    private CompletableFuture<HttpResponse<String>> send(RelayFixture entry, RequestKind kind, long deadlineMillis) {
        HttpRequest r = HttpRequest.newBuilder(URI.create(
                        "http://127.0.0.1:" + entry.port() + "/" + kind.name().toLowerCase(Locale.ROOT) + "/x"))
                .timeout(Duration.ofSeconds(10))
                .POST(HttpRequest.BodyPublishers.ofString("content"))
                .header("X-Attempt", "attempt-" + attemptCount.incrementAndGet())
                .header("X-Deadline", Long.toString(deadlineMillis))
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .build();
        return client.sendAsync(r, HttpResponse.BodyHandlers.ofString());
    }

    /** Begins a shutdown whose end is all that matters. */
    private static void beginShortShutdown(RelayFixture entry) {
        entry.server().beginShutdown(0, SHORT_STOP_MILLIS);
    }

    private static void beginShutdown(RelayFixture entry) {
        entry.server().beginShutdown(NOTICE_MILLIS, STOP_MILLIS);
    }

    private static void completeShutdown(RelayFixture entry) {
        entry.server().completeShutdown();
        entry.server().close();
        entry.close();
    }

    private static void assertRefused(HttpResponse<String> got) {
        Assertions.assertEquals(503, got.statusCode(), got.body());
        Assertions.assertTrue(got.headers().firstValue("Retry-After").isPresent());
        Assertions.assertEquals("close", got.headers().firstValue("Connection").orElse(""));
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void requestsThatCannotCompleteAreRefusedAtOnce(RequestKind kind) throws Exception {
        ScriptedTarget t = addTarget(stopping, StoppingEntryTest::hang);
        beginShutdown(stopping);
        CompletableFuture<HttpResponse<String>> late = send(stopping, kind, ROUTE_TIMEOUT_MILLIS);
        assertRefused(late.get(RESPONSE_MILLIS, TimeUnit.MILLISECONDS));
        Assertions.assertEquals(0, t.requests().size());
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void requestsWhoseDeadlineIsBeforeTheEndAreServed(RequestKind kind) throws Exception {
        addTarget(stopping, StoppingEntryTest::serve);
        beginShutdown(stopping);
        Assertions.assertEquals(
                200, send(stopping, kind, EARLY_DEADLINE_MILLIS).join().statusCode());
    }

    /** Most requests complete long before their deadline. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void requestsThatUsuallyCompleteInTimeAreServed(RequestKind kind) throws Exception {
        addTarget(stopping, StoppingEntryTest::serve);
        for (int i = 0; i < EARLIER_REQUESTS; i++) {
            send(stopping, kind, ROUTE_TIMEOUT_MILLIS).join();
        }
        beginShutdown(stopping);
        Assertions.assertEquals(
                200, send(stopping, kind, ROUTE_TIMEOUT_MILLIS).join().statusCode());
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void requestsInProgressGetAResponseAtTheEnd(RequestKind kind) throws Exception {
        ScriptedTarget t = addTarget(stopping, StoppingEntryTest::hang);
        CompletableFuture<HttpResponse<String>> early = send(stopping, kind, ROUTE_TIMEOUT_MILLIS);
        Awaitility.await().until(() -> !t.requests().isEmpty());
        beginShortShutdown(stopping);
        completeShutdown(stopping);
        HttpResponse<String> got = early.get(5, TimeUnit.SECONDS);
        Assertions.assertEquals(502, got.statusCode(), got.body());
    }

    /** A response that ends early must not look complete, with or without chunks. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void streamsInProgressAreVisiblyIncomplete(String version) throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        addTarget(stopping, (r, c) -> {
            c.send(EVENTS).chunk(EVENT);
            sent.countDown();
            c.awaitClose();
        });
        CompletableFuture<RawResponse> early = CompletableFuture.supplyAsync(() -> {
            try {
                return RawResponse.request(stopping.port(), version, RequestKind.STREAM);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        Assertions.assertTrue(sent.await(5, TimeUnit.SECONDS));
        beginShortShutdown(stopping);
        completeShutdown(stopping);
        RawResponse got = early.get(5, TimeUnit.SECONDS);
        Assertions.assertEquals(200, got.status());
        Assertions.assertFalse(got.isComplete(), got::body);
    }

    /** The rest of a body may arrive when the request can no longer complete. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestsWhoseBodyIsLateAreRefused(boolean whole) throws Exception {
        ScriptedTarget t = addTarget(stopping, StoppingEntryTest::hang);
        try (Socket s = new Socket("127.0.0.1", stopping.port())) {
            s.setSoTimeout(5_000);
            s.getOutputStream()
                    .write(("POST /non_idempotent/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt: a\r\n"
                                    + "X-Key: secret\r\nX-Model: m\r\nContent-Length: 2\r\n\r\nx")
                            .getBytes(StandardCharsets.US_ASCII));
            Awaitility.await().until(() -> stopping.inFlight() == 1);
            beginShortShutdown(stopping);
            if (whole) {
                s.getOutputStream().write('x');
            }
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> completeShutdown(stopping));
            Assertions.assertTrue(readLine(s.getInputStream()).startsWith("HTTP/1.1 503"));
            stopped.get(5, TimeUnit.SECONDS);
        }
        Assertions.assertEquals(0, t.requests().size());
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            out.append((char) b);
        }
        return out.toString();
    }

    /** A request that a target turns away during the shutdown is left to the other entries. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void attemptsThatCannotCompleteAreNotStarted(RequestKind kind) throws Exception {
        CountDownLatch stops = new CountDownLatch(1);
        ScriptedTarget.Script turnsAway = (r, c) -> {
            try {
                stops.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            c.send(NOT_RUN);
        };
        addTarget(stopping, turnsAway);
        addTarget(stopping, turnsAway);
        CompletableFuture<HttpResponse<String>> early = send(stopping, kind, ROUTE_TIMEOUT_MILLIS);
        Awaitility.await().until(() -> runCount() == 1);
        beginShutdown(stopping);
        stops.countDown();
        assertRefused(early.get(5, TimeUnit.SECONDS));
        Assertions.assertEquals(1, runCount());
    }

    @Test
    void hedgesThatCannotCompleteAreNotStarted() throws Exception {
        addTarget(stopping, StoppingEntryTest::hang);
        addTarget(stopping, StoppingEntryTest::hang);
        CompletableFuture<HttpResponse<String>> early = send(stopping, RequestKind.IDEMPOTENT, ROUTE_TIMEOUT_MILLIS);
        Awaitility.await().until(() -> runCount() == 1);
        beginShortShutdown(stopping);
        completeShutdown(stopping);
        Assertions.assertEquals(502, early.get(5, TimeUnit.SECONDS).statusCode());
        Assertions.assertEquals(1, runCount());
    }

    private int runCount() {
        return targets.stream().mapToInt(t -> t.requests().size()).sum();
    }

    /** An entry that forwards a request learns from the refusal that it can be sent elsewhere. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void forwardedRequestsThatCannotCompleteAreSentElsewhere(RequestKind kind) throws Exception {
        ScriptedTarget hanging = addTarget(stopping, StoppingEntryTest::hang);
        RelayFixture other = addEntry();
        addTarget(other, StoppingEntryTest::serve);
        RelayFixture partitioned = addPartitioned(stopping, other);
        beginShutdown(stopping);
        for (int i = 0; i < EARLIER_REQUESTS; i++) {
            Assertions.assertEquals(
                    200, send(partitioned, kind, ROUTE_TIMEOUT_MILLIS).join().statusCode());
        }
        Assertions.assertEquals(0, hanging.requests().size());
    }

    /** A forwarded request may have run when its entry ends; the entry that forwarded it decides about another run. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void forwardedRequestsInProgressAreReturnedAtTheEnd(RequestKind kind) throws Exception {
        ScriptedTarget hanging = addTarget(stopping, StoppingEntryTest::hang);
        RelayFixture partitioned = addPartitioned(stopping);
        CompletableFuture<HttpResponse<String>> early = send(partitioned, kind, ROUTE_TIMEOUT_MILLIS);
        Awaitility.await().until(() -> !hanging.requests().isEmpty());
        beginShortShutdown(stopping);
        RelayFixture other = addEntry();
        ScriptedTarget serving = addTarget(other, StoppingEntryTest::serve);
        partitioned.addEntry("other", other);
        completeShutdown(stopping);
        HttpResponse<String> got = early.get(5, TimeUnit.SECONDS);
        if (kind == RequestKind.NON_IDEMPOTENT) {
            Assertions.assertEquals(502, got.statusCode(), got.body());
            Assertions.assertTrue(got.body().contains("shutting down"), got::body);
            Assertions.assertEquals(0, serving.requests().size());
        } else {
            Assertions.assertEquals(200, got.statusCode(), got.body());
        }
        Assertions.assertEquals(1, hanging.requests().size());
    }

    /** The shutdown does not wait for requests that have completed. */
    @Test
    void shutdownEndsEarlyWithoutRequests() {
        stopping.server().beginShutdown(0, TimeUnit.MINUTES.toMillis(1));
        Assertions.assertTimeoutPreemptively(Duration.ofSeconds(5), () -> completeShutdown(stopping));
    }
}
