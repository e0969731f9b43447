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
import java.util.concurrent.CountDownLatch;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against deadlines that end later than the caller's: the time until a request gets a connection, to a target or to another
 * entry, is part of its time.
 */
class DeadlineOnBusyConnectionsTest {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nhello";
    private static final long DEADLINE_MILLIS = 3_000;
    /** Shorter than the time for which a request waits for a connection. */
    private static final long WAIT_MILLIS = 150;

    private final CountDownLatch released = new CountDownLatch(1);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture entry;
    private ScriptedTarget recipient;

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture();
        recipient = new ScriptedTarget((r, c) -> {
            if (r.line().contains("busy")) {
                awaitRelease();
            }
            c.send(WHOLE);
        });
    }

    @AfterEach
    void close() {
        entry.close();
        recipient.close();
    }

    private void awaitRelease() throws IOException {
        try {
            released.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private CompletableFuture<HttpResponse<String>> send(String name) {
        HttpRequest r = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + entry.port() + "/non_idempotent/" + name))
                .timeout(Duration.ofSeconds(10))
                .header("X-Attempt", name)
                .header("X-Deadline", Long.toString(DEADLINE_MILLIS))
                .header("X-Key", "secret")
                .build();
        return client.sendAsync(r, HttpResponse.BodyHandlers.ofString());
    }

    /** The second column is the number of connections that an entry keeps to one recipient. */
    @ParameterizedTest
    @CsvSource({"false, 64", "true, 128"})
    void waitForAConnectionShortensTheDeadline(boolean forwarded, int connections) throws Exception {
        if (forwarded) {
            try (ServerSocket closed = new ServerSocket(0)) {
                closed.close();
                entry.add("app", "i-app", closed.getLocalPort());
            }
            entry.addEntry("helper", recipient.port());
        } else {
            entry.add("app", "i-app", recipient.port());
        }
        send("first").join();
        List<CompletableFuture<HttpResponse<String>>> busy = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            busy.add(send("busy-" + i));
        }
        Awaitility.await().until(() -> recipient.requests().size() > connections);
        long sentAt = System.nanoTime();
        CompletableFuture<HttpResponse<String>> last = send("last");
        Awaitility.await()
                .pollDelay(Duration.ofMillis(WAIT_MILLIS))
                .until(() -> System.nanoTime() - sentAt
                        >= Duration.ofMillis(WAIT_MILLIS).toNanos());
        released.countDown();
        Assertions.assertEquals(200, last.join().statusCode());
        ScriptedTarget.Request got =
                recipient.requests().get(recipient.requests().size() - 1);
        Assertions.assertEquals("last", got.headers().get("x-attempt"));
        long remaining = Long.parseLong(got.headers().get("x-deadline"));
        Assertions.assertTrue(
                remaining <= DEADLINE_MILLIS - WAIT_MILLIS / 2,
                () -> remaining + " ms were left after " + WAIT_MILLIS + " ms");
        busy.forEach(CompletableFuture::join);
    }
}
