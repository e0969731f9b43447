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
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams whose client does not read them: the entry holds a bounded part, and closes both connections. */
class UnreadStreamTest {

    private static final String EVENTS = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT = "data: " + "x".repeat(16_376) + "\n\n";
    /** What the entry holds, and what fits into the buffers of three connections, in bytes. */
    private static final long MAX_READ_BYTES = UnreadEvents.MAX_BYTES + 3 * 8L * 1024 * 1024;
    /** Where a target that is still read gives up, in bytes. */
    private static final long ENDLESS_BYTES = 256L * 1024 * 1024;

    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    private final AtomicLong sentBytes = new AtomicLong();
    private RelayFixture entry;
    private RelayFixture helper;
    private ScriptedTarget target;

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture();
        helper = new RelayFixture();
        target = new ScriptedTarget((r, c) -> {
            c.send(EVENTS);
            if (r.line().contains("/short")) {
                c.chunk("id: 1\ndata: x\n\n").send("0\r\n\r\n");
                return;
            }
            while (sentBytes.get() < ENDLESS_BYTES) {
                c.chunk(EVENT);
                sentBytes.addAndGet(EVENT.length());
            }
            c.awaitClose();
        });
    }

    @AfterEach
    void close() {
        entry.close();
        helper.close();
        target.close();
    }

    private Socket send(String path) throws IOException {
        Socket s = new Socket("127.0.0.1", entry.port());
        s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        s.getOutputStream()
                .write(("POST /stream/" + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt: " + path
                                + "\r\nX-Model: m\r\nX-Key: secret\r\nContent-Length: 4\r\n\r\nbody")
                        .getBytes(StandardCharsets.UTF_8));
        return s;
    }

    /** Reads until a text or the end of the connection; returns whether the text was found. */
    private static boolean readUntil(InputStream in, String text) throws IOException {
        StringBuilder read = new StringBuilder();
        byte[] bytes = new byte[65_536];
        try {
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                read.append(new String(bytes, 0, n, StandardCharsets.ISO_8859_1));
                if (read.indexOf(text) >= 0) {
                    return true;
                }
                read.delete(0, Math.max(0, read.length() - text.length()));
            }
        } catch (SocketException e) {
            return false;
        }
        return false;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsBrokenOff(boolean forwarded) throws Exception {
        if (forwarded) {
            try (ServerSocket closed = new ServerSocket(0)) {
                entry.add("llm", "i-closed", closed.getLocalPort());
            }
            entry.addEntry("helper", helper);
        }
        (forwarded ? helper : entry).add("llm", "i-llm", target.port());
        try (Socket unread = send("endless")) {
            Assertions.assertTrue(
                    target.closedByCaller().await(SOCKET_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                    () -> "the connection was not closed, " + sentBytes + " bytes were sent");
            Assertions.assertTrue(sentBytes.get() <= MAX_READ_BYTES, () -> sentBytes + " bytes were read");
            Assertions.assertFalse(readUntil(unread.getInputStream(), "\r\n0\r\n\r\n"), "the stream is complete");
        }
        try (Socket other = send("short")) {
            Assertions.assertTrue(readUntil(other.getInputStream(), "\r\n0\r\n\r\n"), "no complete stream");
        }
    }
}
