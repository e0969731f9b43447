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

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
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
import java.util.stream.Stream;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a part of a response that is passed on as a whole one: a target responds to an upload before it has read it, without a
 * length or chunks, and closes or resets the connection.
 */
class EarlyResponseTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long OBJECTIVE_MILLIS = 400;
    private static final int MEDIUM_UPLOAD = 400_000;
    private static final int LARGE_UPLOAD = 3_000_000;

    private final List<EarlyTarget> targets = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture entry;
    private RelayFixture helper;

    /** How the target ends the connection after a part of its response. */
    private enum End {
        CLOSE,
        RESET
    }

    /** What the target sends before. */
    private enum Sent {
        PART_OF_A_BODY("\r\nhel"),
        AN_EVENT("Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n");

        private final String text;

        Sent(String text) {
            this.text = text;
        }
    }

    /** Responds once it has read the head of a request. */
    private static final class EarlyTarget implements Closeable {

        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final Sent sent;
        private final End end;

        EarlyTarget(Sent sent, End end) throws IOException {
            this.sent = sent;
            this.end = end;
            Thread t = new Thread(this::accept, "early-target");
            t.setDaemon(true);
            t.start();
        }

        private void accept() {
            while (!server.isClosed()) {
                try (Socket s = server.accept()) {
                    respond(s);
                } catch (IOException e) {
                    // the entry has closed the connection, or the test has ended
                }
            }
        }

        private void respond(Socket s) throws IOException {
            InputStream in = new BufferedInputStream(s.getInputStream(), 1);
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    return;
                }
                head.append((char) b);
            }
            String id = head.toString()
                    .lines()
                    .filter(l -> l.toLowerCase(Locale.ROOT).startsWith("x-attempt:"))
                    .findFirst()
                    .orElseThrow();
            String text = "HTTP/1.1 200 OK\r\n" + id + "\r\nX-Stamp: s\r\n" + sent.text;
            s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            if (end == End.RESET) {
                s.setSoLinger(true, 0);
            }
        }

        @Override
        public void close() {
            try {
                server.close();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture(0, 100, OBJECTIVE_MILLIS, BodyMemory.ofProcess(), 2 * LARGE_UPLOAD);
        helper = new RelayFixture(0, 100, OBJECTIVE_MILLIS, BodyMemory.ofProcess(), 2 * LARGE_UPLOAD);
    }

    @AfterEach
    void close() {
        entry.close();
        helper.close();
        targets.forEach(EarlyTarget::close);
    }

    private void addTarget(Sent sent, End end, boolean forwarded) throws IOException {
        EarlyTarget t = new EarlyTarget(sent, end);
        targets.add(t);
        if (forwarded) {
            try (ServerSocket closed = new ServerSocket(0)) {
                entry.add("app", "i-app", closed.getLocalPort());
                entry.add("llm", "i-llm", closed.getLocalPort());
            }
            entry.addEntry("helper", helper);
        }
        RelayFixture sender = forwarded ? helper : entry;
        sender.add("app", "i-early-app", t.server.getLocalPort());
        sender.add("llm", "i-early-llm", t.server.getLocalPort());
    }

    private static Stream<Arguments> cases() {
        return Stream.of(RequestKind.values())
                .flatMap(k -> Stream.of(End.values())
                        .flatMap(e -> Stream.of(MEDIUM_UPLOAD, LARGE_UPLOAD)
                                .flatMap(n -> Stream.of(false, true).map(f -> Arguments.of(k, e, n, f)))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void partOfAnEarlyResponseIsNotPassedOnAsWhole(RequestKind kind, End end, int bytes, boolean forwarded)
            throws Exception {
        addTarget(kind == RequestKind.STREAM ? Sent.AN_EVENT : Sent.PART_OF_A_BODY, end, forwarded);
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://127.0.0.1:" + entry.port() + "/" + kind.name().toLowerCase(Locale.ROOT) + "/x"))
                .header("X-Attempt", "attempt-1")
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]))
                .build();
        try {
            HttpResponse<String> r = client.send(request, HttpResponse.BodyHandlers.ofString());
            Assertions.assertTrue(r.statusCode() >= 500, () -> r.statusCode() + ": " + r.body());
        } catch (IOException e) {
            Assertions.assertFalse(e instanceof java.net.http.HttpTimeoutException, "no response in time");
        }
    }
}
