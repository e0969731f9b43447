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
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

import org.hallwall.serving.target.GroupLiveness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against running a forwarded request on more targets than its route allows: the runs at all entries that work on it count
 * against one limit.
 */
class ForwardedAttemptsTest {

    private static final int MAX_ATTEMPTS = 2;
    private static final int MAX_REJECTED_ATTEMPTS = 4;
    private static final int HELPERS = 3;
    private static final int TARGETS = 6;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\n";
    private static final String EVENTS = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String WHOLE = HEAD + "Content-Length: 5\r\n\r\nhello";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Busy\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String ERROR =
            "HTTP/1.1 500 Internal Server Error\r\nX-Attempt: ATTEMPT\r\nContent-Length: 0\r\n\r\n";

    /** How a target fails to respond. */
    private enum Fault {
        ERROR_STATUS((r, c) -> c.send(ERROR)),
        RESET((r, c) -> c.reset()),
        BROKEN_OFF((r, c) -> {
            c.send(EVENTS).chunk("id: " + nextEventId(r) + "\ndata: x\n\n").chunk("id: ");
            c.end();
        }),
        HANGING((r, c) -> c.awaitClose());

        private final ScriptedTarget.Script script;

        Fault(ScriptedTarget.Script script) {
            this.script = script;
        }

        private static int nextEventId(ScriptedTarget.Request r) {
            return 1 + Integer.parseInt(r.headers().getOrDefault("last-event-id", "0"));
        }
    }

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<RelayFixture> helpers = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture partitioned;

    @BeforeEach
    void open() throws Exception {
        openPartitioned(new RelayFixture());
    }

    private void openPartitioned(RelayFixture entry) throws Exception {
        if (partitioned != null) {
            partitioned.close();
        }
        partitioned = entry;
        int closedPort = closedPort();
        partitioned.add("app", "i-app", closedPort);
        partitioned.add("llm", "i-llm", closedPort);
    }

    @AfterEach
    void close() {
        partitioned.close();
        helpers.forEach(RelayFixture::close);
        targets.forEach(ScriptedTarget::close);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    private RelayFixture addHelper() throws Exception {
        RelayFixture h = new RelayFixture();
        h.setLiveness(GroupLiveness.LOST);
        helpers.add(h);
        partitioned.addEntry("helper-" + helpers.size(), h);
        return h;
    }

    private void addTarget(ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        for (RelayFixture h : helpers) {
            h.add("app", "i-app" + targets.size(), t.port());
            h.add("llm", "i-llm" + targets.size(), t.port());
        }
    }

    /** Sends a request to the partitioned entry; returns status 0 if the response breaks off. */
    private int send(String kind) {
        HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + partitioned.port() + "/" + kind + "/x"))
                .timeout(Duration.ofSeconds(10))
                .header("X-Attempt", "attempt")
                .header("X-Deadline", "3000")
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .build();
        try {
            return client.sendAsync(r, HttpResponse.BodyHandlers.ofString())
                    .join()
                    .statusCode();
        } catch (CompletionException e) {
            return 0;
        }
    }

    private int runCount() {
        return targets.stream().mapToInt(t -> t.requests().size()).sum();
    }

    @ParameterizedTest
    @CsvSource({
        "idempotent, ERROR_STATUS, 2",
        "idempotent, RESET, 2",
        "idempotent, HANGING, 2",
        "stream, ERROR_STATUS, 2",
        "stream, RESET, 2",
        "stream, BROKEN_OFF, 2",
        "stream, HANGING, 2",
        "non_idempotent, ERROR_STATUS, 1",
        "non_idempotent, RESET, 1"
    })
    void runsAtAllEntriesCountAgainstTheRoutesAttempts(String kind, Fault fault, int maxRuns) throws Exception {
        for (int i = 0; i < HELPERS; i++) {
            addHelper();
        }
        for (int i = 0; i < TARGETS; i++) {
            addTarget(fault.script);
        }
        int status = send(kind);
        Assertions.assertTrue(
                runCount() <= maxRuns, () -> runCount() + " runs, " + maxRuns + " allowed, status " + status);
        Assertions.assertTrue(runCount() == 0 || status != 503, "refused as not run although it has run");
    }

    /** What was begun behind a hop that is lost counts as run. */
    @ParameterizedTest
    @CsvSource({"idempotent", "stream"})
    void runBehindALostHopCounts(String kind) throws Exception {
        for (int i = 0; i < HELPERS; i++) {
            addHelper();
        }
        for (int i = 0; i < TARGETS; i++) {
            addTarget((r, c) -> {
                if (runCount() == 2) {
                    helpers.forEach(RelayFixture::close);
                }
                c.send(ERROR);
            });
        }
        send(kind);
        Assertions.assertTrue(runCount() <= MAX_ATTEMPTS, () -> runCount() + " runs");
    }

    /** A run that the route allows is used, also when only one entry can reach targets. */
    @ParameterizedTest
    @CsvSource({"idempotent, 1", "idempotent, 3", "stream, 1", "stream, 3"})
    void failedRunIsRetriedAtAnotherTarget(String kind, int helperCount) throws Exception {
        for (int i = 0; i < helperCount; i++) {
            addHelper();
        }
        for (int i = 0; i < TARGETS; i++) {
            addTarget((r, c) -> {
                if (runCount() == 1) {
                    c.send(ERROR);
                } else if (kind.equals("stream")) {
                    c.send(EVENTS).chunk("id: 1\ndata: 1\n\n").send(LAST_CHUNK);
                } else {
                    c.send(WHOLE);
                }
            });
        }
        Assertions.assertEquals(200, send(kind));
        Assertions.assertEquals(2, runCount());
        Assertions.assertEquals(
                2, targets.stream().filter(t -> !t.requests().isEmpty()).count(), "different targets");
    }

    /** Entries that refuse a request have sent it to no target, so that the next entry needs no retry of the budget. */
    @Test
    void refusalsOfOtherEntriesAreNotCharged() throws Exception {
        openPartitioned(new RelayFixture(0));
        addHelper().server().rejectNewRequests();
        addHelper().server().rejectNewRequests();
        addHelper();
        addTarget((r, c) -> c.send(WHOLE));
        Assertions.assertEquals(200, send("idempotent"));
    }

    /** A run that failed behind another entry is charged to the retry budget of the entry that received the request. */
    @Test
    void runsBehindOtherEntriesAreCharged() throws Exception {
        openPartitioned(new RelayFixture(0));
        addHelper();
        addHelper();
        addTarget((r, c) -> c.send(ERROR));
        addTarget((r, c) -> c.send(ERROR));
        Assertions.assertEquals(500, send("idempotent"));
        Assertions.assertEquals(1, runCount());
    }

    /** Attempts that targets reject are no runs, but are limited for the request as a whole. */
    @Test
    void rejectedAttemptsAreLimitedOverAllEntries() throws Exception {
        for (int i = 0; i < HELPERS; i++) {
            addHelper();
        }
        for (int i = 0; i < TARGETS; i++) {
            addTarget((r, c) -> c.send(NOT_RUN));
        }
        Assertions.assertEquals(503, send("idempotent"));
        Assertions.assertTrue(runCount() <= MAX_REJECTED_ATTEMPTS, () -> runCount() + " attempts were rejected");
    }
}
