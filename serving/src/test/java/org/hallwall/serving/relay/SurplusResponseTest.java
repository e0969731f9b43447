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
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against responses that a target sends a second time: a caller gets the response of its own run, with the status of that run, and
 * no error of the entry in its place.
 */
class SurplusResponseTest {

    private static final int REQUESTS = 24;
    private static final int SUCCESS = 200;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger runs = new AtomicInteger();
    private final ConcurrentHashMap<String, Integer> statusOfRun = new ConcurrentHashMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture entry;
    private RelayFixture helper;

    /** When the second response to a request arrives. */
    private enum Timing {
        /** In the same write as the first response. */
        BEHIND {
            @Override
            void respond(StutteringConnection c, String response, String surplus) throws IOException {
                c.write(response + surplus);
            }
        },
        /** In the place where the response to the next request is due. */
        WHEN_DUE {
            @Override
            void respond(StutteringConnection c, String response, String surplus) throws IOException {
                c.write(response);
                c.pending = surplus;
            }
        },
        /** A part behind the first response, and the rest in the place where the response to the next request is due. */
        SPLIT {
            @Override
            void respond(StutteringConnection c, String response, String surplus) throws IOException {
                int half = surplus.indexOf("\r\n\r\n") / 2;
                c.write(response + surplus.substring(0, half));
                c.pending = surplus.substring(half);
            }
        };

        abstract void respond(StutteringConnection c, String response, String surplus) throws IOException;
    }

    /** A connection on which a second response may be due. */
    private static final class StutteringConnection {

        private ScriptedTarget.Connection connection;
        private String pending = "";

        void write(String text) throws IOException {
            connection.send(pending + text);
            pending = "";
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

    private void target(RelayFixture sender, ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        sender.add("app", "i-app" + targets.size(), t.port());
        sender.add("llm", "i-llm" + targets.size(), t.port());
    }

    /** Adds targets that respond to each request twice; every third run fails, the second response has the other outcome. */
    private void addStutteringTargets(boolean forwarded, RequestKind kind, Timing timing) throws IOException {
        if (forwarded) {
            try (ServerSocket closed = new ServerSocket(0)) {
                entry.add("app", "i-closed-app", closed.getLocalPort());
                entry.add("llm", "i-closed-llm", closed.getLocalPort());
            }
            entry.addEntry("helper", helper);
        }
        ThreadLocal<StutteringConnection> connections = ThreadLocal.withInitial(StutteringConnection::new);
        target(forwarded ? helper : entry, (r, c) -> {
            int run = runs.incrementAndGet();
            int status = run % 3 == 0 ? failure(kind) : SUCCESS;
            String stamp = "run-" + run;
            statusOfRun.put(stamp, status);
            StutteringConnection s = connections.get();
            s.connection = c;
            String id = r.headers().get("x-attempt");
            timing.respond(
                    s, response(kind, status, id, stamp), response(kind, other(kind, status), id, stamp + "-surplus"));
        });
    }

    /** A stream that fails with a server error is retried, and there is one target only. */
    private static int failure(RequestKind kind) {
        return kind == RequestKind.STREAM ? 404 : 500;
    }

    private static int other(RequestKind kind, int status) {
        return status == SUCCESS ? failure(kind) : SUCCESS;
    }

    private static String response(RequestKind kind, int status, String id, String stamp) {
        String head = "HTTP/1.1 " + status + " Status\r\nX-Attempt: " + id + "\r\nX-Stamp: " + stamp + "\r\n";
        if (kind == RequestKind.STREAM && status == SUCCESS) {
            String event = "id: 0\ndata: " + stamp + "\n\n";
            return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n";
        }
        return head + "Content-Length: " + stamp.length() + "\r\n\r\n" + stamp;
    }

    private HttpResponse<String> send(RequestKind kind, String id) throws Exception {
        String route = kind.name().toLowerCase(Locale.ROOT);
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/" + route + "/x"))
                        .header("X-Attempt", id)
                        .header("X-Model", "m")
                        .header("X-Key", "secret")
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private void assertOwnRun(HttpResponse<String> r, int runsBefore) {
        String stamp = r.headers().firstValue("X-Stamp").orElse("none, " + r.body());
        Assertions.assertEquals(statusOfRun.get(stamp), (Integer) r.statusCode(), "status of " + stamp);
        Assertions.assertTrue(Integer.parseInt(stamp.substring(4)) > runsBefore, "response of an earlier run " + stamp);
        Assertions.assertTrue(r.body().contains(stamp + "\n") || r.body().equals(stamp), r.body());
    }

    private static Stream<Arguments> cases() {
        return Stream.of(false, true)
                .flatMap(f -> Stream.of(RequestKind.values())
                        .flatMap(k -> Stream.of(Timing.values()).map(t -> Arguments.of(f, k, t))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void eachRequestGetsTheResponseOfItsRun(boolean forwarded, RequestKind kind, Timing timing) throws Exception {
        addStutteringTargets(forwarded, kind, timing);
        for (int i = 0; i < REQUESTS; i++) {
            int before = runs.get();
            assertOwnRun(send(kind, "attempt-" + i), before);
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    void repeatedRequestIdGetsTheResponseOfItsRun(boolean forwarded, RequestKind kind, Timing timing) throws Exception {
        addStutteringTargets(forwarded, kind, timing);
        for (int i = 0; i < REQUESTS; i++) {
            int before = runs.get();
            assertOwnRun(send(kind, "attempt-" + i / 2), before);
        }
    }
}
