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
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.awaitility.Awaitility;
import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that end without a log line that names them and their outcome. */
class RequestLogTest {

    private static final Logger LOG = Logger.getLogger("org.hallwall.serving.relay");

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final Handler recorder = new Handler() {
        @Override
        public void publish(LogRecord r) {
            lines.add(r.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private RelayFixture entry;
    private RelayFixture helper;

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture();
        helper = new RelayFixture();
        LOG.addHandler(recorder);
    }

    @AfterEach
    void close() {
        LOG.removeHandler(recorder);
        entry.close();
        helper.close();
        targets.forEach(ScriptedTarget::close);
    }

    private void addTarget(ScriptedRun how, boolean forwarded) throws IOException {
        if (forwarded) {
            try (ServerSocket closed = new ServerSocket(0)) {
                entry.add("app", "i-closed", closed.getLocalPort());
                entry.add("llm", "i-closed-head", closed.getLocalPort());
            }
            entry.addEntry("helper", helper);
        }
        ScriptedTarget t =
                new ScriptedTarget((r, c) -> ScriptedRun.Run.of(r, "run", how).respond(c));
        targets.add(t);
        RelayFixture sender = forwarded ? helper : entry;
        sender.add("app", "i-app", t.port());
        sender.add("llm", "i-llm", t.port());
    }

    private void awaitLine(String expected) {
        Awaitility.await()
                .alias(expected)
                .until(() ->
                        lines.stream().anyMatch(l -> l.startsWith("request attempt-1") && l.matches(".*" + expected)));
    }

    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT, OK, on NON_IDEMPOTENT: status 200 with 3 bytes in .* from i-app on connection .*",
        "IDEMPOTENT, NOT_FOUND, on IDEMPOTENT: status 404 with 3 bytes .*",
        "IDEMPOTENT, ERROR, on IDEMPOTENT: status 500 with 3 bytes .*",
        "IDEMPOTENT, NO_CONTENT, on IDEMPOTENT: status 204 with 0 bytes .*",
        "STREAM, EVENTS, on STREAM: 3 events in .* from i-llm.* status 200 on connection .*",
        "STREAM, OK, on STREAM: status 200 with 3 bytes .*",
        "STREAM, NOT_FOUND_WITH_EVENTS, on STREAM: status 404 with .*",
        "STREAM, ERROR, : attempt at i-llm .* RAN: the target responded with status 500.*",
        "STREAM, ERROR, ': refused with 502, RAN.*'",
        "STREAM, EVENT_THEN_RESET, : stream aborted after 1 events.*",
        "NON_IDEMPOTENT, RESET, : refused with 502.*",
        "NON_IDEMPOTENT, REJECTED, : refused with 503.*",
        "NON_IDEMPOTENT, SILENCE, : refused with 504.*",
        "STREAM, SILENCE, : refused with 504.*",
        "STREAM, EVENT_THEN_SILENCE, : stream aborted after 1 events.*"
    })
    void outcomeIsLogged(RequestKind kind, ScriptedRun how, String expected) throws Exception {
        addTarget(how, false);
        RawResponse.request(entry.port(), "HTTP/1.1", kind, "X-Deadline: 500\r\n");
        awaitLine(expected);
    }

    /** Both entries name the request, and the second one its target. */
    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT, OK, status 200 with 3 bytes",
        "STREAM, EVENTS, 3 events in",
        "STREAM, NOT_FOUND, status 404 with 3 bytes"
    })
    void outcomeOfAForwardedRequestIsLoggedByBothEntries(RequestKind kind, ScriptedRun how, String expected)
            throws Exception {
        addTarget(how, true);
        RawResponse.request(entry.port(), "HTTP/1.1", kind);
        awaitLine(": forwarded to entry helper.*");
        awaitLine(": received from entry entry.*");
        awaitLine(expected + ".* from i-(app|llm).*");
        awaitLine(expected + ".* from helper.*");
    }

    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT, SILENCE, false",
        "STREAM, SILENCE, false",
        "STREAM, EVENT_THEN_SILENCE, false",
        "NON_IDEMPOTENT, SILENCE, true",
        "STREAM, EVENT_THEN_SILENCE, true"
    })
    void disconnectedClientIsLogged(RequestKind kind, ScriptedRun how, boolean forwarded) throws Exception {
        addTarget(how, forwarded);
        try (Socket s = new Socket("127.0.0.1", entry.port())) {
            RawResponse.write(s, "HTTP/1.1", kind);
            if (how == ScriptedRun.EVENT_THEN_SILENCE) {
                Assertions.assertTrue(s.getInputStream().read() >= 0);
            } else {
                Awaitility.await().until(() -> !targets.get(0).requests().isEmpty());
            }
        }
        awaitLine(": client disconnected after.*");
    }

    @ParameterizedTest
    @CsvSource({"unknown, true", "stream, false"})
    void clientThatLeavesWithinItsRequestOrAsksForNoRouteIsLogged(String path, boolean whole) throws Exception {
        String text = "POST /" + path.toLowerCase(Locale.ROOT) + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                + "X-Attempt: attempt-1\r\nX-Model: m\r\nX-Key: secret\r\nContent-Length: " + (whole ? 0 : 9)
                + "\r\n\r\n";
        addTarget(ScriptedRun.OK, false);
        try (Socket s = new Socket("127.0.0.1", entry.port())) {
            s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            if (whole) {
                Assertions.assertTrue(s.getInputStream().read() >= 0);
            } else {
                Awaitility.await().until(() -> entry.inFlight() == 1);
            }
        }
        awaitLine(whole ? ": refused with 404.*" : ": connection was closed before the response.*");
    }
}
