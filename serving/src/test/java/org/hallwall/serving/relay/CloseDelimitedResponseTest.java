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
import java.util.ArrayList;
import java.util.List;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against truncated or endless responses where a target sends neither a length nor chunks: the end of the connection ends the
 * response, a reset does not, and a stream that ends within an event is incomplete.
 */
class CloseDelimitedResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n";
    private static final String PLAIN = HEAD + "\r\n";
    private static final String EVENTS = HEAD + "Content-Type: text/event-stream\r\n\r\n";

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private RelayFixture entry;
    private RelayFixture helper;

    /** The way of a request to its target, and the caller's version of HTTP. */
    private enum Path {
        HTTP_1_0("HTTP/1.0", false),
        HTTP_1_1("HTTP/1.1", false),
        HTTP_1_0_FORWARDED("HTTP/1.0", true),
        HTTP_1_1_FORWARDED("HTTP/1.1", true);

        private final String version;
        private final boolean forwarded;

        Path(String version, boolean forwarded) {
            this.version = version;
            this.forwarded = forwarded;
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

    /** Adds two targets with the same script; on a forwarded path, only the helper can connect to them. */
    private void targets(Path path, ScriptedTarget.Script script) throws Exception {
        if (path.forwarded) {
            try (java.net.ServerSocket closed = new java.net.ServerSocket(0)) {
                entry.add("app", "i-app", closed.getLocalPort());
                entry.add("llm", "i-llm", closed.getLocalPort());
            }
            entry.addEntry("helper", helper);
        }
        for (int i = 0; i < 2; i++) {
            ScriptedTarget t = new ScriptedTarget(script);
            targets.add(t);
            RelayFixture sender = path.forwarded ? helper : entry;
            sender.add("app", "i-app" + i, t.port());
            sender.add("llm", "i-llm" + i, t.port());
        }
    }

    private int runs() {
        return targets.stream().mapToInt(t -> t.requests().size()).sum();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: " + id + "\n\n";
    }

    private RawResponse send(Path path, RequestKind kind) throws IOException {
        return RawResponse.request(entry.port(), path.version, kind);
    }

    private void assertWhole(RawResponse r, Path path, String content) {
        Assertions.assertEquals(200, r.status(), r::toString);
        Assertions.assertTrue(r.isComplete(), r::toString);
        Assertions.assertEquals(content, r.content());
        Assertions.assertTrue(r.head().contains("X-Stamp: s"), r::toString);
        Assertions.assertFalse(r.isChunked() && path.version.equals("HTTP/1.0"), "HTTP/1.0 has no chunks: " + r);
    }

    @ParameterizedTest
    @EnumSource(Path.class)
    void endOfTheConnectionEndsAPlainResponse(Path path) throws Exception {
        targets(path, (r, c) -> c.send(PLAIN).send("hel").send("lo").end());
        assertWhole(send(path, RequestKind.NON_IDEMPOTENT), path, "hello");
        Assertions.assertEquals(1, runs());
    }

    @ParameterizedTest
    @EnumSource(Path.class)
    void endOfTheConnectionBetweenEventsEndsAStream(Path path) throws Exception {
        targets(path, (r, c) -> c.send(EVENTS).send(event(1)).send(event(2)).end());
        assertWhole(send(path, RequestKind.STREAM), path, event(1) + event(2));
        Assertions.assertEquals(1, runs());
    }

    /** Whatever ends the connection too early: within an event, before the first one, or a reset anywhere. */
    @ParameterizedTest
    @CsvSource({
        "HTTP_1_0, WITHIN_AN_EVENT",
        "HTTP_1_1, WITHIN_AN_EVENT",
        "HTTP_1_1_FORWARDED, WITHIN_AN_EVENT",
        "HTTP_1_0, BEFORE_THE_FIRST_EVENT",
        "HTTP_1_1, BEFORE_THE_FIRST_EVENT",
        "HTTP_1_1_FORWARDED, BEFORE_THE_FIRST_EVENT",
        "HTTP_1_0, RESET_BETWEEN_EVENTS",
        "HTTP_1_1, RESET_BETWEEN_EVENTS",
        "HTTP_1_1_FORWARDED, RESET_BETWEEN_EVENTS"
    })
    void interruptedStreamIsResumedAtAnotherTarget(Path path, Interruption how) throws Exception {
        targets(path, (r, c) -> {
            String last = r.headers().get("last-event-id");
            c.send(EVENTS);
            if (last == null && runs() == 1) {
                how.interrupt(c);
                return;
            }
            for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= 3; i++) {
                c.send(event(i));
            }
            c.end();
        });
        assertWhole(send(path, RequestKind.STREAM), path, event(1) + event(2) + event(3));
        Assertions.assertEquals(2, runs());
    }

    /** How a stream is interrupted. */
    private enum Interruption {
        WITHIN_AN_EVENT {
            @Override
            void interrupt(ScriptedTarget.Connection c) throws IOException {
                c.send(event(1)).send("id: 2\nda").end();
            }
        },
        BEFORE_THE_FIRST_EVENT {
            @Override
            void interrupt(ScriptedTarget.Connection c) throws IOException {
                c.end();
            }
        },
        RESET_BETWEEN_EVENTS {
            @Override
            void interrupt(ScriptedTarget.Connection c) throws IOException {
                c.send(event(1)).reset();
            }
        };

        abstract void interrupt(ScriptedTarget.Connection c) throws IOException;
    }

    /** A stream that no target completes must not look complete to the caller. */
    @ParameterizedTest
    @EnumSource(Path.class)
    void streamThatCannotBeResumedIsIncomplete(Path path) throws Exception {
        targets(path, (r, c) -> {
            String last = r.headers().get("last-event-id");
            c.send(EVENTS)
                    .send(event(last == null ? 1 : Integer.parseInt(last) + 1))
                    .send("id: 9\nda")
                    .end();
        });
        RawResponse r = send(path, RequestKind.STREAM);
        Assertions.assertFalse(r.isComplete(), r::toString);
    }

    @ParameterizedTest
    @CsvSource({"HTTP_1_0, 502", "HTTP_1_1, 502", "HTTP_1_1_FORWARDED, 502"})
    void resetPlainResponseIsNotForwarded(Path path, int status) throws Exception {
        targets(path, (r, c) -> c.send(PLAIN).send("hel").reset());
        Assertions.assertEquals(status, send(path, RequestKind.NON_IDEMPOTENT).status());
    }

    /** The connection of such a response cannot carry another request. */
    @Test
    void connectionIsNotReused() throws Exception {
        targets(Path.HTTP_1_1, (r, c) -> c.send(PLAIN).send("hello").end());
        for (int i = 0; i < 5; i++) {
            assertWhole(send(Path.HTTP_1_1, RequestKind.NON_IDEMPOTENT), Path.HTTP_1_1, "hello");
        }
        Assertions.assertEquals(5, runs());
    }

    /** A target that crashes while it writes such a response closes the connection like one that is done. */
    @ParameterizedTest
    @EnumSource(
            value = Interruption.class,
            names = {"WITHIN_AN_EVENT", "BEFORE_THE_FIRST_EVENT"})
    void interruptedStreamCountsAsADisconnect(Interruption how) throws Exception {
        targets(Path.HTTP_1_1, (r, c) -> {
            entry.crashPeers().markEnded("i-llm0");
            entry.crashPeers().markEnded("i-llm1");
            c.send(EVENTS);
            how.interrupt(c);
        });
        send(Path.HTTP_1_1, RequestKind.STREAM);
        Assertions.assertFalse(entry.crashPeers().reported().isEmpty());
    }
}
