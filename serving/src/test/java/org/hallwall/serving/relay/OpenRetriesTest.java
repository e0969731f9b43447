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
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a charge of the retry budget that is settled before its retry has arrived at a target. */
class OpenRetriesTest {

    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String REJECTED =
            "HTTP/1.1 503 Busy\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";

    /** The first target that gets the request rejects it, the second one holds it; others refuse connections. */
    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void retryIsOpenUntilItsTargetResponds(int refusing) throws Exception {
        AtomicInteger arrivals = new AtomicInteger();
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        ScriptedTarget.Script script = (r, c) -> {
            if (arrivals.incrementAndGet() == 1) {
                c.send(REJECTED);
                return;
            }
            held.countDown();
            awaitUninterrupted(released);
            c.send(WHOLE);
        };
        try (RelayFixture entry = new RelayFixture();
                ScriptedTarget first = new ScriptedTarget(script);
                ScriptedTarget second = new ScriptedTarget(script)) {
            entry.add("app", "first", first.port());
            entry.add("app", "second", second.port());
            for (int i = 0; i < refusing; i++) {
                try (ServerSocket closed = new ServerSocket(0)) {
                    entry.add("app", "refusing-" + i, closed.getLocalPort());
                }
            }
            CompletableFuture<Integer> status = CompletableFuture.supplyAsync(() -> send(entry));
            held.await();
            Assertions.assertEquals(1, entry.openRetries("app"));
            released.countDown();
            Assertions.assertEquals(200, status.get());
            Awaitility.await().until(() -> entry.openRetries("app") == 0);
        }
    }

    /**
     * Guards against retries beyond the budget that wait on connections whose bytes are late, while their target responds on others.
     */
    @Test
    void abandonedRetryIsOpenUntilItsTargetHasReadIt() throws Exception {
        try (RelayFixture entry = new RelayFixture();
                ServerSocket a = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
                ServerSocket b = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            entry.add("app", "a", a.getLocalPort());
            entry.add("app", "b", b.getLocalPort());
            CompletableFuture<Socket> atA = CompletableFuture.supplyAsync(() -> acceptRequest(a));
            CompletableFuture<Socket> atB = CompletableFuture.supplyAsync(() -> acceptRequest(b));
            Socket caller = startRequest(entry);
            Socket first = (Socket) CompletableFuture.anyOf(atA, atB).get();
            ServerSocket second = atA.isDone() ? b : a;
            (atA.isDone() ? a : b).close();
            readHead(first);
            first.getOutputStream()
                    .write(REJECTED.replace("ATTEMPT", "attempt-1").getBytes(StandardCharsets.US_ASCII));
            Socket unread = (second == b ? atB : atA).get();
            Assertions.assertEquals(1, entry.openRetries("app"));
            caller.close();
            CompletableFuture<Integer> status = CompletableFuture.supplyAsync(() -> send(entry));
            try (Socket other = acceptRequest(second)) {
                readHead(other);
                other.getOutputStream()
                        .write(WHOLE.replace("ATTEMPT", "attempt-1").getBytes(StandardCharsets.US_ASCII));
                Assertions.assertEquals(200, status.get());
            }
            Assertions.assertEquals(1, entry.openRetries("app"));
            unread.getInputStream().readAllBytes();
            unread.close();
            Awaitility.await().until(() -> entry.openRetries("app") == 0);
        }
    }

    /**
     * Guards against repeats that no entry has charged: the entry that has forwarded a request settles its retry when the other one
     * responds, though the target of that one has not read the attempt.
     */
    @Test
    void abandonedAttemptOfAForwardedRequestIsOpenUntilItsTargetHasReadIt() throws Exception {
        try (RelayFixture partitioned = new RelayFixture();
                RelayFixture helper = new RelayFixture();
                ServerSocket target = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
                ServerSocket closed = new ServerSocket(0)) {
            partitioned.add("app", "unreachable", closed.getLocalPort());
            closed.close();
            partitioned.addEntry("helper", helper);
            helper.add("app", "stopped", target.getLocalPort());
            Socket caller = startRequest(partitioned);
            Socket unread = acceptRequest(target);
            Assertions.assertEquals(0, helper.openRetries("app"));
            caller.close();
            Awaitility.await().until(() -> helper.openRetries("app") == 1);
            Assertions.assertEquals(0, partitioned.openRetries("app"));
            unread.getInputStream().readAllBytes();
            unread.close();
            Awaitility.await().until(() -> helper.openRetries("app") == 0);
        }
    }

    private static Socket startRequest(RelayFixture entry) throws IOException {
        Socket caller = new Socket("127.0.0.1", entry.port());
        RawResponse.write(caller, "HTTP/1.1", RequestKind.NON_IDEMPOTENT);
        return caller;
    }

    /** Accepts the next connection with a request, and reads its first character; others are probes of the entry. */
    private static Socket acceptRequest(ServerSocket target) {
        try {
            target.setSoTimeout(TIMEOUT_MILLIS);
            Socket accepted = target.accept();
            accepted.setSoTimeout(TIMEOUT_MILLIS);
            while (accepted.getInputStream().read() < 0) {
                accepted.close();
                accepted = target.accept();
                accepted.setSoTimeout(TIMEOUT_MILLIS);
            }
            return accepted;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void readHead(Socket from) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = from.getInputStream().read();
            Assertions.assertTrue(c >= 0, () -> "the connection has ended after " + head);
            head.append((char) c);
        }
    }

    private static int send(RelayFixture entry) {
        try {
            return RawResponse.request(entry.port(), "HTTP/1.1", RequestKind.NON_IDEMPOTENT)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
