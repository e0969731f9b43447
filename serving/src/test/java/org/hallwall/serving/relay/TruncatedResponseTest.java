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

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a response that a target cuts off at any byte, in its head or body, and that reaches the client as a complete one. */
class TruncatedResponseTest {

    private static final String STATUS = "HTTP/1.1 200 OK\r\n";
    private static final String FIELDS = "X-Attempt: ATTEMPT\r\nX-Stamp: s\r\n";
    private static final String ATTEMPT = "attempt-1";

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private RelayFixture entry;
    private RelayFixture helper;

    /** How a complete response is framed. */
    private enum Framing {
        LENGTH_FIRST("Content-Length: 5\r\n" + FIELDS + "\r\nhello"),
        LENGTH_LAST(FIELDS + "Content-Length: 5\r\n\r\nhello"),
        CHUNKS(FIELDS + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
        TRAILER(FIELDS + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-End: 1\r\n\r\n"),
        EVENTS(FIELDS + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "f\r\nid: 1\ndata: 1\n\n\r\nf\r\nid: 2\ndata: 2\n\n\r\n0\r\n\r\n");

        private final String rest;

        Framing(String rest) {
            this.rest = rest;
        }

        String response() {
            return (STATUS + rest).replace("ATTEMPT", ATTEMPT);
        }

        List<RequestKind> kinds() {
            return this == EVENTS
                    ? List.of(RequestKind.STREAM)
                    : List.of(RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT);
        }
    }

    /** How the target ends its connection. */
    private enum End {
        CLOSE,
        RESET
    }

    /** Who sends the response to the entry. */
    private enum Sender {
        TARGET,
        /** A target that only another entry can connect to. */
        TARGET_BEHIND_ENTRY,
        /** Another entry, whose response is scripted. */
        ENTRY
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

    /** Adds two targets or entries with the same script. */
    private void addSenders(Sender sender, ScriptedTarget.Script script) throws Exception {
        if (sender != Sender.TARGET) {
            try (ServerSocket closed = new ServerSocket(0)) {
                entry.add("app", "i-app", closed.getLocalPort());
                entry.add("llm", "i-llm", closed.getLocalPort());
            }
        }
        if (sender == Sender.TARGET_BEHIND_ENTRY) {
            entry.addEntry("helper", helper);
        }
        for (int i = 0; i < 2; i++) {
            ScriptedTarget t = new ScriptedTarget(script);
            targets.add(t);
            if (sender == Sender.ENTRY) {
                entry.addEntry("entry-" + i, t.port());
            } else {
                RelayFixture relay = sender == Sender.TARGET ? entry : helper;
                relay.add("app", "i-app" + i, t.port());
                relay.add("llm", "i-llm" + i, t.port());
            }
        }
    }

    static Stream<Arguments> truncations() {
        List<Arguments> out = new ArrayList<>();
        for (Framing f : Framing.values()) {
            for (End e : End.values()) {
                for (RequestKind kind : f.kinds()) {
                    for (Sender s : Sender.values()) {
                        out.add(Arguments.of(f, e, s, kind, "HTTP/1.1"));
                    }
                    out.add(Arguments.of(f, e, Sender.TARGET, kind, "HTTP/1.0"));
                }
            }
        }
        return out.stream();
    }

    @ParameterizedTest
    @MethodSource("truncations")
    void responseCutAtAnyByteIsNotForwardedAsComplete(
            Framing framing, End end, Sender sender, RequestKind kind, String callerVersion) throws Exception {
        String whole = framing.response();
        int[] length = {0};
        addSenders(sender, (r, c) -> {
            c.send(whole.substring(0, length[0]));
            if (end == End.RESET) {
                c.reset();
            } else {
                c.end();
            }
        });
        for (length[0] = 0; length[0] < whole.length(); length[0]++) {
            RawResponse r = RawResponse.request(entry.port(), callerVersion, kind);
            Assertions.assertFalse(r.status() == 200 && r.isComplete(), "cut at byte " + length[0] + ": " + r);
        }
    }

    /** The target neither ends its head nor closes the connection within the time of the request. */
    @ParameterizedTest
    @CsvSource({"10, IDEMPOTENT", "40, NON_IDEMPOTENT", "72, NON_IDEMPOTENT"})
    void headThatStopsIsNotForwarded(int length, RequestKind kind) throws Exception {
        addSenders(
                Sender.TARGET,
                (r, c) -> c.send(Framing.LENGTH_FIRST.response().substring(0, length))
                        .awaitClose());
        RawResponse r = RawResponse.request(entry.port(), "HTTP/1.1", kind);
        Assertions.assertTrue(r.status() >= 500, r::toString);
    }

    /** Guards against an interim response that is taken for the final one. */
    @ParameterizedTest
    @CsvSource({
        "100, 1, TARGET",
        "102, 1, TARGET",
        "103, 1, TARGET",
        "103, 5, TARGET",
        "102, 1, TARGET_BEHIND_ENTRY",
        "103, 1, TARGET_BEHIND_ENTRY",
        "103, 5, TARGET_BEHIND_ENTRY",
        "103, 1, ENTRY"
    })
    void finalResponseFollowsInterimOnes(int status, int count, Sender sender) throws Exception {
        String interim = "HTTP/1.1 " + status + " Interim\r\nLink: </a>\r\n\r\n";
        addSenders(sender, (r, c) -> c.send(interim.repeat(count) + Framing.LENGTH_LAST.response()));
        for (int i = 0; i < 3; i++) {
            RawResponse r = RawResponse.request(entry.port(), "HTTP/1.1", RequestKind.NON_IDEMPOTENT);
            Assertions.assertEquals(200, r.status(), r::toString);
            Assertions.assertEquals("hello", r.content());
        }
        Assertions.assertEquals(
                3, targets.stream().mapToInt(t -> t.requests().size()).sum());
    }

    /** Guards against an interim response alone that looks like a complete response. */
    @ParameterizedTest
    @CsvSource({"CLOSE", "RESET"})
    void interimResponseAloneIsNotComplete(End end) throws Exception {
        addSenders(Sender.TARGET, (r, c) -> {
            c.send("HTTP/1.1 103 Early Hints\r\n" + FIELDS + "\r\n");
            if (end == End.RESET) {
                c.reset();
            } else {
                c.end();
            }
        });
        Assertions.assertEquals(
                502,
                RawResponse.request(entry.port(), "HTTP/1.1", RequestKind.NON_IDEMPOTENT)
                        .status());
    }
}
