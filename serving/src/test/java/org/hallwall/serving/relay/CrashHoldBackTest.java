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
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.serving.config.RequestKind;
import org.hallwall.serving.target.TargetIds;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * An entry without control instances holds back requests that have crashed its targets, of any kind, and no others.
 */
class CrashHoldBackTest {

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String EVENTS =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int TARGETS = 10;
    private static final int ARRIVALS = 8;
    /**
     * Latency objective with which an entry abandons a silent target, in milliseconds; with {@link #LONG_OBJECTIVE_MILLIS} it does not.
     */
    private static final long SHORT_OBJECTIVE_MILLIS = 400;

    private static final long LONG_OBJECTIVE_MILLIS = 4_000;
    /** Targets that crash before a request is held back. */
    private static final int MAX_ENDED = 3;

    /** How a target ends while it processes a request. */
    private enum End {
        /** Before the first byte of the response. */
        AT_ONCE,
        /** After the head of the response. */
        IN_THE_ANSWER,
        /** After the entry has abandoned the attempt; the target restarts. */
        WHEN_LEFT,
        /** After the entry has abandoned the attempt; the target does not restart. */
        WHEN_LEFT_FOR_GOOD,
        /** Only the connection is closed; the target keeps running. */
        NOT_AT_ALL;

        boolean isUnseen() {
            return this == WHEN_LEFT || this == WHEN_LEFT_FOR_GOOD;
        }
    }

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger attempts = new AtomicInteger();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture relay;

    private void open(long objectiveMillis) throws Exception {
        relay = new RelayFixture(0, 100, objectiveMillis);
    }

    @AfterEach
    void close() {
        relay.close();
        targets.forEach(ScriptedTarget::close);
    }

    /** Adds targets that end on requests of workspace w with the body "ends". */
    private void targets(End how) throws Exception {
        open(how.isUnseen() ? SHORT_OBJECTIVE_MILLIS : LONG_OBJECTIVE_MILLIS);
        for (int i = 0; i < TARGETS; i++) {
            EndingTarget t = new EndingTarget("i-" + i, how);
            targets.add(t.target);
            t.announce();
        }
    }

    /** A target of both services and its current instance. */
    private final class EndingTarget {

        private final String name;
        private final End how;
        private final ScriptedTarget target;
        private volatile int start = 1;

        EndingTarget(String name, End how) throws IOException {
            this.name = name;
            this.how = how;
            this.target = new ScriptedTarget(this::respond);
        }

        private String id(String service) {
            return TargetIds.id(service + "-" + name, start).value();
        }

        private void announce() {
            relay.add("app", id("app"), target.port());
            relay.add("llm", id("llm"), target.port());
        }

        private void respond(ScriptedTarget.Request r, ScriptedTarget.Connection c) throws IOException {
            if (r.body().equals("ends") && r.headers().get("x-workspace").equals("w")) {
                end(c);
                return;
            }
            boolean stream = r.line().contains("/stream/");
            c.send(stream ? EVENTS : WHOLE);
            if (stream) {
                c.chunk("id: 1\ndata: 1\n\n").send("0\r\n\r\n");
            }
        }

        private void end(ScriptedTarget.Connection c) throws IOException {
            ended.incrementAndGet();
            switch (how) {
                case NOT_AT_ALL:
                    c.reset();
                    break;
                case WHEN_LEFT:
                    c.awaitClose();
                    restart();
                    break;
                case WHEN_LEFT_FOR_GOOD:
                    c.awaitClose();
                    shutDown(c);
                    break;
                case IN_THE_ANSWER:
                    c.send(EVENTS);
                    shutDown(c);
                    break;
                default:
                    shutDown(c);
                    break;
            }
        }

        /** Closes the port, so that each end counted is that of another instance. */
        private void shutDown(ScriptedTarget.Connection c) throws IOException {
            target.close();
            relay.crashPeers().markEnded(id("app"));
            relay.crashPeers().markEnded(id("llm"));
            c.reset();
        }

        private synchronized void restart() {
            String app = id("app");
            String llm = id("llm");
            start++;
            announce();
            relay.crashPeers().markRestarted(app);
            relay.crashPeers().markRestarted(llm);
        }
    }

    private HttpResponse<String> send(RequestKind kind, String key, String path, String body) throws Exception {
        return send(kind, key, path, body, "");
    }

    private HttpResponse<String> send(RequestKind kind, String key, String path, String body, String parts)
            throws Exception {
        String uri = "/" + kind.name().toLowerCase(Locale.ROOT) + "/" + path;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + uri))
                .header("X-Attempt", "attempt-" + attempts.incrementAndGet())
                .header("X-Model", "m")
                .header("X-Key", key)
                .header("X-Prompt-Parts", parts)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void holdBack(RequestKind kind) throws Exception {
        for (int i = 0; i < MAX_ENDED; i++) {
            send(kind, "secret", "x", "ends");
        }
        Assertions.assertEquals(503, send(kind, "secret", "x", "ends").statusCode());
    }

    @ParameterizedTest
    @CsvSource({
        "STREAM, AT_ONCE",
        "STREAM, IN_THE_ANSWER",
        "STREAM, WHEN_LEFT",
        "IDEMPOTENT, AT_ONCE",
        "IDEMPOTENT, IN_THE_ANSWER",
        "IDEMPOTENT, WHEN_LEFT",
        "STREAM, WHEN_LEFT_FOR_GOOD",
        "IDEMPOTENT, WHEN_LEFT_FOR_GOOD",
        "NON_IDEMPOTENT, AT_ONCE",
        "NON_IDEMPOTENT, IN_THE_ANSWER"
    })
    void requestThatCrashesTargetsIsHeldBack(RequestKind kind, End how) throws Exception {
        targets(how);
        HttpResponse<String> last = null;
        for (int i = 0; i < ARRIVALS; i++) {
            last = send(kind, "secret", "x", "ends");
        }
        // an abandoned attempt is retried before its target ends
        int most = how.isUnseen() ? MAX_ENDED + 1 : MAX_ENDED;
        Assertions.assertTrue(ended.get() <= most, ended.get() + " targets ended");
        Assertions.assertEquals(503, last.statusCode());
        Assertions.assertTrue(last.body().contains("ended under it"), last.body());
        double retryAfter =
                Double.parseDouble(last.headers().firstValue("Retry-After").orElseThrow());
        Assertions.assertTrue(retryAfter > 1, "Retry-After is " + retryAfter + " s");
    }

    /** Requests that differ in everything but one prompt part; the first part is shared with requests that are answered. */
    @ParameterizedTest
    @CsvSource({
        "STREAM, AT_ONCE",
        "STREAM, IN_THE_ANSWER",
        "IDEMPOTENT, AT_ONCE",
        "IDEMPOTENT, IN_THE_ANSWER",
        "NON_IDEMPOTENT, AT_ONCE",
        "NON_IDEMPOTENT, IN_THE_ANSWER"
    })
    void requestsWithACrashingPromptPartAreHeldBack(RequestKind kind, End how) throws Exception {
        targets(how);
        HttpResponse<String> last = null;
        for (int i = 0; i < ARRIVALS; i++) {
            Assertions.assertEquals(
                    200,
                    send(kind, "secret", "y" + i, "other", "c0ffee:8,e" + i + ":1")
                            .statusCode());
            last = send(kind, "secret", "x" + i, "ends", "c0ffee:8,bad:" + i + ",f" + i + ":1");
        }
        Assertions.assertTrue(ended.get() <= MAX_ENDED, ended.get() + " targets ended");
        Assertions.assertEquals(503, last.statusCode());
        Assertions.assertTrue(last.body().contains("held back as part-bad"), last.body());
        Assertions.assertEquals(
                503, send(kind, "other", "z", "ends", "BAD:9,a:1").statusCode(), "any workspace");
        Assertions.assertEquals(
                200, send(kind, "secret", "z", "other", "c0ffee:8,bad:1").statusCode(), "last part");
        Assertions.assertEquals(
                200, send(kind, "secret", "z", "other", "c0ffee:8,a:1").statusCode(), "other parts");
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void otherRequestsAreServed(RequestKind kind) throws Exception {
        targets(End.AT_ONCE);
        holdBack(kind);
        Assertions.assertEquals(200, send(kind, "other", "x", "ends").statusCode(), "another workspace");
        Assertions.assertEquals(200, send(kind, "secret", "x", "other").statusCode(), "another body");
        Assertions.assertEquals(200, send(kind, "secret", "x", "").statusCode(), "no body");
    }

    /** Connections closed by running targets must not hold a request back. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void connectionsClosedByRunningTargetsHoldNothingBack(RequestKind kind) throws Exception {
        targets(End.NOT_AT_ALL);
        for (int i = 0; i < ARRIVALS; i++) {
            Assertions.assertEquals(502, send(kind, "secret", "x", "ends").statusCode());
        }
    }

    /** A frequent request is in progress whenever a target ends, but is also answered; it must not be held back. */
    @Test
    void requestWithResponsesInBetweenIsNotHeldBack() throws Exception {
        open(SHORT_OBJECTIVE_MILLIS);
        AtomicInteger arrivals = new AtomicInteger();
        for (int i = 0; i < TARGETS; i++) {
            String id = "i-" + i;
            ScriptedTarget t = new ScriptedTarget((r, c) -> {
                if (arrivals.incrementAndGet() % 3 == 0) {
                    c.send(WHOLE);
                    return;
                }
                relay.crashPeers().markEnded(id);
                c.reset();
            });
            targets.add(t);
            relay.add("app", id, t.port());
        }
        for (int i = 0; i < ARRIVALS; i++) {
            Assertions.assertNotEquals(
                    503, send(RequestKind.NON_IDEMPOTENT, "secret", "x", "y").statusCode());
        }
    }
}
