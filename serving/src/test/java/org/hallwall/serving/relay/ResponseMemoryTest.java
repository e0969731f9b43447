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
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses that together exceed the memory of an entry, because there are many or because clients do not read them: the
 * entry goes on and other clients are served.
 */
class ResponseMemoryTest {

    private static final int TARGETS = 12;
    private static final int CLIENTS = 40;
    private static final int SMALL_REQUESTS = 20;
    private static final int BODY_BYTES = BufferedResponse.MAX_BODY_BYTES;
    /** Where a target that is still read gives up, in bytes. */
    private static final long ENDLESS_BYTES = 64L * 1024 * 1024;

    private static final int SOCKET_TIMEOUT_MILLIS = 15_000;
    private static final int WAIT_SECONDS = 10;
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n";
    private static final String WHOLE = OK + "Content-Length: 5\r\n\r\nhello";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String EVENTS = OK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PART = "x".repeat(65_536);

    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<RelayProcess> processes = new ArrayList<>();
    /** Counts the attempts whose response has begun, so that all are in flight at once. */
    private final CountDownLatch begun = new CountDownLatch(CLIENTS);
    /** Counts the attempts whose response is sent but for its end, or whose connection has closed. */
    private final CountDownLatch sent = new CountDownLatch(CLIENTS);

    private final AtomicInteger responding = new AtomicInteger();

    @TempDir
    private Path temp;

    @BeforeEach
    void open() throws IOException {
        for (int i = 0; i < TARGETS; i++) {
            targets.add(new ScriptedTarget(this::respond));
        }
    }

    @AfterEach
    void close() {
        clients.shutdownNow();
        processes.forEach(RelayProcess::close);
        targets.forEach(ScriptedTarget::close);
    }

    private RelayProcess startEntry(boolean forwarding) throws IOException {
        RelayProcess entry =
                start(targets.stream().map(t -> Integer.toString(t.port())).toList());
        if (!forwarding) {
            return entry;
        }
        try (ServerSocket unreachable = new ServerSocket(0)) {
            unreachable.close();
            return start(List.of(
                    "entry", Integer.toString(entry.forwardingPort()), Integer.toString(unreachable.getLocalPort())));
        }
    }

    private RelayProcess start(List<String> args) throws IOException {
        RelayProcess p = new RelayProcess(temp.resolve("entry" + processes.size() + ".log"), args);
        processes.add(p);
        return p;
    }

    private void respond(ScriptedTarget.Request r, ScriptedTarget.Connection c) throws IOException {
        String path = r.line().split(" ")[1];
        if (path.endsWith("/small")) {
            c.send(path.startsWith("/stream") ? EVENTS + "d\r\nid: 1\ndata:\n\n\r\n0\r\n\r\n" : WHOLE);
            return;
        }
        responding.incrementAndGet();
        try {
            begun.countDown();
            await(begun);
            sendLarge(path.substring(path.lastIndexOf('/') + 1), c);
        } finally {
            responding.decrementAndGet();
            sent.countDown();
        }
    }

    private void sendLarge(String kind, ScriptedTarget.Connection c) throws IOException {
        switch (kind) {
            case "large" -> {
                c.send(OK + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "y".repeat(BODY_BYTES - 1));
                sent.countDown();
                await(sent);
                c.send("y");
            }
            case "endless" -> sendEndlessly(c, CHUNKED, PART);
            case "event" -> sendEndlessly(c, EVENTS, PART);
            case "events" -> sendEndlessly(c, EVENTS, ("data: " + PART.substring(0, 16_376) + "\n\n").repeat(4));
            default -> throw new IOException(kind);
        }
    }

    private static void sendEndlessly(ScriptedTarget.Connection c, String head, String part) throws IOException {
        c.send(head);
        for (long sentBytes = 0; sentBytes < ENDLESS_BYTES; sentBytes += part.length()) {
            c.chunk(part);
        }
        c.awaitClose();
        throw new IOException("closed");
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static Socket send(RelayProcess entry, String path, int client) throws IOException {
        Socket s = new Socket("127.0.0.1", entry.port());
        s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        s.getOutputStream()
                .write(("POST /" + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt: " + path + client
                                + "\r\nX-Model: m\r\nX-Key: secret\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
                        .getBytes(StandardCharsets.UTF_8));
        return s;
    }

    /** Sends a request and reads the whole response; returns its status, or the status and "broken off". */
    private static String request(RelayProcess entry, String path, int client) throws IOException {
        try (Socket s = send(entry, path, client)) {
            return read(s.getInputStream());
        }
    }

    private static String read(InputStream in) throws IOException {
        byte[] bytes = new byte[65_536];
        StringBuilder head = new StringBuilder();
        String end = "";
        long length = 0;
        try {
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                String text = new String(bytes, 0, n, StandardCharsets.ISO_8859_1);
                if (head.length() < 2_000) {
                    head.append(text);
                }
                end = (end + text).substring(Math.max(0, end.length() + n - 5));
                length += n;
            }
        } catch (IOException e) {
            return "broken off: " + e.getMessage();
        }
        if (length == 0) {
            return "no response";
        }
        String status = head.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3);
        int headEnd = head.indexOf("\r\n\r\n") + 4;
        String lower = head.substring(0, headEnd).toLowerCase(Locale.ROOT);
        boolean whole = lower.contains("content-length: ")
                ? length - headEnd
                        == Long.parseLong(lower.split("content-length: ")[1].split("\r")[0])
                : end.equals("0\r\n\r\n");
        return status + (whole ? "" : ", broken off");
    }

    private void assertSmallAreServed(RelayProcess entry, String prefix) throws IOException {
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            Assertions.assertEquals("200", request(entry, "non_idempotent/small", i), prefix + i);
            Assertions.assertEquals("200", request(entry, "stream/small", i), prefix + "stream " + i);
        }
    }

    private void assertHealthy() throws IOException {
        for (RelayProcess p : processes) {
            p.assertHealthy();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "non_idempotent/large, false",
        "non_idempotent/large, true",
        "non_idempotent/endless, false",
        "non_idempotent/endless, true",
        "idempotent/endless, false",
        "stream/endless, false",
        "stream/event, false",
        "stream/event, true"
    })
    void eachResponseIsRelayedOrRefused(String path, boolean forwarding) throws Exception {
        RelayProcess entry = startEntry(forwarding);
        assertSmallAreServed(entry, "before ");
        List<Future<String>> responses = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            responses.add(clients.submit(() -> request(entry, path, client)));
        }
        begun.await(WAIT_SECONDS, TimeUnit.SECONDS);
        assertSmallAreServed(entry, "beside ");
        int relayed = 0;
        for (Future<String> r : responses) {
            String response = r.get(2 * SOCKET_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            relayed += response.equals("200") ? 1 : 0;
            Assertions.assertTrue(
                    List.of("200", "502", "503").contains(response), response + ", " + relayed + " were relayed");
        }
        assertSmallAreServed(entry, "after ");
        assertHealthy();
        Assertions.assertEquals(path.endsWith("/large"), relayed > 0, relayed + " were relayed");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamThatItsClientDoesNotReadIsBrokenOff(boolean forwarding) throws Exception {
        RelayProcess entry = startEntry(forwarding);
        List<Socket> unread = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                unread.add(send(entry, "stream/events", i));
            }
            begun.await(WAIT_SECONDS, TimeUnit.SECONDS);
            assertSmallAreServed(entry, "beside ");
            Awaitility.await().atMost(WAIT_SECONDS, TimeUnit.SECONDS).untilAtomic(responding, Matchers.is(0));
            assertHealthy();
            for (Socket s : unread) {
                String response = read(s.getInputStream());
                Assertions.assertTrue(response.contains("broken off") || response.startsWith("50"), response);
            }
        } finally {
            for (Socket s : unread) {
                s.close();
            }
        }
        assertSmallAreServed(entry, "after ");
        assertHealthy();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responsesThatTheirClientsDoNotReadLeaveRoomForOthers(boolean forwarding) throws Exception {
        RelayProcess entry = startEntry(forwarding);
        List<Socket> unread = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                unread.add(send(entry, "non_idempotent/large", i));
            }
            Assertions.assertTrue(sent.await(WAIT_SECONDS, TimeUnit.SECONDS), sent.getCount() + " are still sent");
            assertSmallAreServed(entry, "beside ");
            assertHealthy();
            for (Socket s : unread) {
                String response = read(s.getInputStream());
                Assertions.assertTrue(List.of("200", "502", "503").contains(response), response);
            }
        } finally {
            for (Socket s : unread) {
                s.close();
            }
        }
        assertSmallAreServed(entry, "after ");
        assertHealthy();
    }
}
