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
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against uploads that together exceed the memory: each gets a complete response, by a target or a refusal. */
class ConcurrentUploadsTest {

    private static final int BODY_BYTES = 4 * 1024 * 1024;
    private static final int USERS = 24;
    /** Larger bodies may use two thirds: four of the maximum size. */
    private static final long MEMORY_BYTES = 6L * BODY_BYTES;

    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
    /** Time of a target for one request, in milliseconds; uploads overlap in it. */
    private static final long TARGET_MILLIS = 1_000;

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";

    private final BodyMemory memory = new BodyMemory(MEMORY_BYTES);
    private final ExecutorService users = Executors.newCachedThreadPool();
    private final CountDownLatch released = new CountDownLatch(1);
    private RelayFixture entry;
    private ScriptedTarget target;

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture(0, 100, 400, memory, BODY_BYTES);
        target = new ScriptedTarget((r, c) -> {
            awaitRelease();
            c.send(WHOLE);
        });
        entry.add("app", "i-app", target.port());
    }

    @AfterEach
    void close() {
        released.countDown();
        users.shutdownNow();
        entry.close();
        target.close();
    }

    private void awaitRelease() throws IOException {
        try {
            released.await(TARGET_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static String head(int user, String framing) {
        return "POST /non_idempotent/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt: attempt-" + user
                + "\r\nX-Key: secret\r\n" + framing + "\r\n\r\n";
    }

    /** Sends a whole body and reads a response; returns its head. */
    private String upload(int user, boolean chunked) throws IOException {
        try (Socket s = new Socket("127.0.0.1", entry.port())) {
            s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            OutputStream out = s.getOutputStream();
            write(out, head(user, chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + BODY_BYTES));
            byte[] chunk = new byte[CHUNK_BYTES];
            for (int sent = 0; sent < BODY_BYTES; sent += chunk.length) {
                if (chunked) {
                    write(out, Integer.toHexString(chunk.length) + "\r\n");
                }
                out.write(chunk);
                if (chunked) {
                    write(out, "\r\n");
                }
            }
            if (chunked) {
                write(out, "0\r\n\r\n");
            }
            return readHead(s.getInputStream());
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int b = in.read(); b >= 0 && head.indexOf("\r\n\r\n") < 0; b = in.read()) {
            head.append((char) b);
        }
        return head.toString();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void eachUploadIsServedOrRefused(boolean chunked) throws Exception {
        List<Future<String>> uploads = new ArrayList<>();
        for (int i = 0; i < USERS; i++) {
            int user = i;
            uploads.add(users.submit(() -> upload(user, chunked)));
        }
        int served = 0;
        for (Future<String> u : uploads) {
            String head = u.get(20, TimeUnit.SECONDS);
            if (head.startsWith("HTTP/1.1 200 ")) {
                served++;
            } else {
                Assertions.assertTrue(head.startsWith("HTTP/1.1 503 "), head);
                Assertions.assertTrue(head.toLowerCase(java.util.Locale.ROOT).contains("retry-after: "), head);
            }
            Assertions.assertTrue(memory.reservedBytes() <= MEMORY_BYTES);
        }
        Assertions.assertTrue(served > 0, "none was served");
        Assertions.assertTrue(served < USERS, "none was refused");
        Assertions.assertEquals(served, target.requests().size());
    }

    /** Waits until bodies hold all that larger ones may use. */
    private void fillMemory() throws Exception {
        BodyMemory.Reservation large = memory.open();
        Assertions.assertTrue(large.tryExtend(4L * BODY_BYTES));
    }

    @Test
    void declaredLengthIsRefusedBeforeTheBodyIsSent() throws Exception {
        fillMemory();
        try (Socket s = new Socket("127.0.0.1", entry.port())) {
            s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            write(s.getOutputStream(), head(1, "Content-Length: " + BODY_BYTES));
            String head = readHead(s.getInputStream());
            Assertions.assertTrue(head.startsWith("HTTP/1.1 503 "), head);
        }
    }

    /** The rest of a refused body must not be taken for the next request. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void connectionOfARefusedBodyServesTheNextRequestOrIsClosed(boolean chunked) throws Exception {
        fillMemory();
        released.countDown();
        try (Socket s = new Socket("127.0.0.1", entry.port())) {
            s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            OutputStream out = s.getOutputStream();
            int first = 8 * CHUNK_BYTES;
            String body = "GET / HTTP/1.1\r\n\r\n".repeat(CHUNK_BYTES);
            if (chunked) {
                write(out, head(1, "Transfer-Encoding: chunked") + Integer.toHexString(body.length()) + "\r\n");
            } else {
                write(out, head(1, "Content-Length: " + body.length()));
            }
            write(out, body.substring(0, first));
            String refusal = readHead(s.getInputStream());
            Assertions.assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
            int length = Integer.parseInt(refusal.toLowerCase(java.util.Locale.ROOT)
                    .split("content-length: ")[1]
                    .split("\r")[0]);
            s.getInputStream().readNBytes(length - 1);
            write(out, body.substring(first));
            write(out, chunked ? "\r\n0\r\n\r\n" : "");
            write(out, head(2, "Content-Length: 0"));
            String head = readHead(s.getInputStream());
            Assertions.assertTrue(head.isEmpty() || head.startsWith("HTTP/1.1 200 "), head);
        }
        Assertions.assertTrue(target.requests().size() <= 1);
    }

    @Test
    void smallBodiesAreServedBesideLargeOnes() throws Exception {
        fillMemory();
        released.countDown();
        try (Socket s = new Socket("127.0.0.1", entry.port())) {
            s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            write(s.getOutputStream(), head(1, "Content-Length: " + CHUNK_BYTES));
            s.getOutputStream().write(new byte[CHUNK_BYTES]);
            String head = readHead(s.getInputStream());
            Assertions.assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        }
    }
}
