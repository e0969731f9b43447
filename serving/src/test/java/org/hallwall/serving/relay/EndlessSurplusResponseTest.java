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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against unsolicited and stale responses that never end: a bounded part is read, and the connection is closed. */
class EndlessSurplusResponseTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n";
    private static final String WHOLE = OK + "Content-Length: 5\r\n\r\nhello";
    private static final String PART = "x".repeat(65_536);
    /** The limit of stale responses, and what fits into the buffers of a connection, in bytes. */
    private static final long MAX_READ_BYTES = (4 + 8) * 1024L * 1024;
    /** Where a server that is still read gives up, in bytes. */
    private static final long ENDLESS_BYTES = 64L * 1024 * 1024;

    private static final int WAIT_SECONDS = 10;

    private final AtomicLong sentBytes = new AtomicLong();
    private final CountDownLatch answered = new CountDownLatch(1);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture entry;
    private RelayFixture helper;
    private ScriptedTarget server;

    /** What is sent beside the response to the first request. */
    private enum Surplus {
        BODY(
                "HTTP/1.1 200 OK\r\nX-Attempt: first\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "10000\r\n" + PART + "\r\n"),
        RESPONSES("", WHOLE.replace("ATTEMPT", "first").repeat(500)),
        NO_RESPONSE("", PART);

        private final String head;
        private final String part;

        Surplus(String head, String part) {
            this.head = head;
            this.part = part;
        }
    }

    /** When it is sent. */
    private enum Timing {
        BEHIND,
        IDLE,
        WHEN_DUE
    }

    /** Who sends it. */
    private enum Sender {
        TARGET,
        TARGET_OF_OTHER_ENTRY,
        OTHER_ENTRY
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Sender.values())
                .flatMap(sender -> Stream.of(Timing.values())
                        .flatMap(timing -> Stream.of(Surplus.values()).map(s -> Arguments.of(sender, timing, s))));
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
        server.close();
    }

    private void start(Sender sender, Timing timing, Surplus surplus) throws IOException {
        ThreadLocal<Boolean> isUsed = ThreadLocal.withInitial(() -> false);
        server = new ScriptedTarget((r, c) -> {
            boolean due = isUsed.get() && timing == Timing.WHEN_DUE;
            boolean first = r.headers().get("x-attempt").equals("first");
            isUsed.set(true);
            if (!due) {
                c.send(WHOLE);
            }
            if (timing == Timing.IDLE && first) {
                await(answered);
            }
            if (due || first && timing != Timing.WHEN_DUE) {
                sendEndlessly(surplus, c);
            }
        });
        if (sender == Sender.TARGET) {
            entry.add("app", "i-app", server.port());
            return;
        }
        try (ServerSocket closed = new ServerSocket(0)) {
            entry.add("app", "i-closed", closed.getLocalPort());
        }
        if (sender == Sender.OTHER_ENTRY) {
            entry.addEntry("helper", server.port());
        } else {
            entry.addEntry("helper", helper);
            helper.add("app", "i-app", server.port());
        }
    }

    private void sendEndlessly(Surplus surplus, ScriptedTarget.Connection c) throws IOException {
        c.send(surplus.head);
        while (sentBytes.get() < ENDLESS_BYTES) {
            c.send(surplus.part);
            sentBytes.addAndGet(surplus.part.length());
        }
        c.awaitClose();
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private int send(String id) throws Exception {
        return client.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/non_idempotent/x"))
                                .header("X-Attempt", id)
                                .header("X-Key", "secret")
                                .timeout(Duration.ofSeconds(WAIT_SECONDS))
                                .POST(HttpRequest.BodyPublishers.ofString("body"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void connectionIsClosed(Sender sender, Timing timing, Surplus surplus) throws Exception {
        start(sender, timing, surplus);
        Assertions.assertEquals(200, send("first"));
        answered.countDown();
        if (timing == Timing.WHEN_DUE) {
            Assertions.assertEquals(502, send("second"));
        }
        Assertions.assertTrue(
                server.closedByCaller().await(WAIT_SECONDS, TimeUnit.SECONDS),
                () -> "the connection was not closed, " + sentBytes + " bytes were sent");
        Assertions.assertTrue(sentBytes.get() <= MAX_READ_BYTES, () -> sentBytes + " bytes were read");
        Assertions.assertEquals(200, send("third"));
    }
}
