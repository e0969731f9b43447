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
import org.hallwall.serving.target.StartedTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * An entry that reaches no control instance goes by what it has seen itself: a request under which its targets have ended is refused at
 * once, whatever its kind, and no other one is.
 */
class HeldBackTest {

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String EVENTS =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int TARGETS = 10;
    private static final int ARRIVALS = 8;
    /** The latency objective, in milliseconds: with the short one an entry leaves a target that is silent, with the long one it never does. */
    private static final long SHORT = 400;

    private static final long LONG = 4_000;
    /** Three that make it known; in the third attempt nothing is sent again. */
    private static final int MOST_ENDED = 3;

    /** How a target ends under a request. */
    private enum End {
        /** Before any byte of its answer. */
        AT_ONCE,
        /** Behind the head of its answer. */
        IN_THE_ANSWER,
        /** When the entry has given the request up, unseen; then it starts again. */
        WHEN_LEFT,
        /** When the entry has given the request up, unseen; nothing comes back in its place. */
        WHEN_LEFT_FOR_GOOD,
        /** Only the connection ends, and the target lives. */
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

    /** Adds targets that end under requests of workspace w with the body "ends". */
    private void targets(End how) throws Exception {
        open(how.isUnseen() ? SHORT : LONG);
        for (int i = 0; i < TARGETS; i++) {
            EndingTarget t = new EndingTarget("i-" + i, how);
            targets.add(t.target);
            t.announce();
        }
    }

    /** A target of both services, and its present start. */
    private final class EndingTarget {

        private final String name;
        private final End how;
        private final ScriptedTarget target;
        private volatile int start = 1;

        EndingTarget(String name, End how) throws IOException {
            this.name = name;
            this.how = how;
            this.target = new ScriptedTarget(this::answer);
        }

        private String id(String service) {
            return StartedTarget.id(service + "-" + name, start).value();
        }

        private void announce() {
            relay.add("app", id("app"), target.port());
            relay.add("llm", id("llm"), target.port());
        }

        private void answer(ScriptedTarget.Request r, ScriptedTarget.Connection c) throws IOException {
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
                    startAgain();
                    break;
                case WHEN_LEFT_FOR_GOOD:
                    c.awaitClose();
                    goAway(c);
                    break;
                case IN_THE_ANSWER:
                    c.send(EVENTS);
                    goAway(c);
                    break;
                default:
                    goAway(c);
                    break;
            }
        }

        /** Nothing listens any more where a target has ended: each end that is counted is one of another start. */
        private void goAway(ScriptedTarget.Connection c) throws IOException {
            target.close();
            relay.crashPeers().end(id("app"));
            relay.crashPeers().end(id("llm"));
            c.reset();
        }

        private synchronized void startAgain() {
            String app = id("app");
            String llm = id("llm");
            start++;
            announce();
            relay.crashPeers().startAgain(app);
            relay.crashPeers().startAgain(llm);
        }
    }

    private HttpResponse<String> send(RequestKind kind, String key, String path, String body) throws Exception {
        String uri = "/" + kind.name().toLowerCase(Locale.ROOT) + "/" + path;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + uri))
                .header("X-Attempt", "attempt-" + attempts.incrementAndGet())
                .header("X-Model", "m")
                .header("X-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void holdBack(RequestKind kind) throws Exception {
        for (int i = 0; i < MOST_ENDED; i++) {
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
    void whatEndsItsTargetsIsRefusedAtOnce(RequestKind kind, End how) throws Exception {
        targets(how);
        HttpResponse<String> last = null;
        for (int i = 0; i < ARRIVALS; i++) {
            last = send(kind, "secret", "x", "ends");
        }
        // an attempt that is left is sent on before its target ends
        int most = how.isUnseen() ? MOST_ENDED + 1 : MOST_ENDED;
        Assertions.assertTrue(ended.get() <= most, ended.get() + " targets ended");
        Assertions.assertEquals(503, last.statusCode());
        Assertions.assertTrue(last.body().contains("ended under it"), last.body());
        double away =
                Double.parseDouble(last.headers().firstValue("Retry-After").orElseThrow());
        Assertions.assertTrue(away > 1, "back in " + away + " s");
    }

    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void anyOtherRequestIsServed(RequestKind kind) throws Exception {
        targets(End.AT_ONCE);
        holdBack(kind);
        Assertions.assertEquals(200, send(kind, "other", "x", "ends").statusCode(), "another workspace");
        Assertions.assertEquals(200, send(kind, "secret", "x", "other").statusCode(), "another body");
        Assertions.assertEquals(200, send(kind, "secret", "x", "").statusCode(), "no body");
    }

    /** Targets that break off one request after the other and live: it fails each time, and is tried each time. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void brokenConnectionsOfTargetsThatLiveHoldNothingBack(RequestKind kind) throws Exception {
        targets(End.NOT_AT_ALL);
        for (int i = 0; i < ARRIVALS; i++) {
            Assertions.assertEquals(502, send(kind, "secret", "x", "ends").statusCode());
        }
    }

    /** A popular request is there whenever a target ends, and is answered elsewhere in between. */
    @Test
    void whatIsAnsweredInBetweenIsNeverHeldBack() throws Exception {
        open(SHORT);
        AtomicInteger arrivals = new AtomicInteger();
        for (int i = 0; i < TARGETS; i++) {
            String id = "i-" + i;
            ScriptedTarget t = new ScriptedTarget((r, c) -> {
                if (arrivals.incrementAndGet() % 3 == 0) {
                    c.send(WHOLE);
                    return;
                }
                relay.crashPeers().end(id);
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
