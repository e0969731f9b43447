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

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a connection that is closed without a response when a step of the relay throws: each reading of its clock fails once,
 * so that the error strikes at many places.
 */
class UnexpectedErrorTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\n";
    private static final String EVENTS = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String WHOLE = HEAD + "Content-Length: 5\r\n\r\nhello";
    private static final String ERROR = "HTTP/1.1 500 Error\r\nX-Attempt: ATTEMPT\r\nContent-Length: 0\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: 1\n\n";
    /** More readings than one request causes. */
    private static final int MAX_READINGS = 40;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture relay;

    @BeforeEach
    void open() throws Exception {
        relay = new RelayFixture();
    }

    @AfterEach
    void close() {
        relay.close();
        targets.forEach(ScriptedTarget::close);
    }

    private void addTarget(ScriptedTarget.Script script) throws Exception {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        relay.add("app", "i-app" + targets.size(), t.port());
        relay.add("llm", "i-llm" + targets.size(), t.port());
    }

    static List<Arguments> requestsAndErrors() {
        List<Arguments> out = new ArrayList<>();
        for (String kind : List.of("stream", "idempotent", "non_idempotent")) {
            for (Throwable e :
                    List.of(new IllegalStateException("test"), new AssertionError("test"), new StackOverflowError())) {
                for (Targets which : Targets.values()) {
                    out.add(Arguments.of(kind, e, which));
                }
            }
        }
        return out;
    }

    /** The targets of the requests. */
    private enum Targets {
        GOOD(false, true),
        BAD(true, false),
        BOTH(true, true);

        private final boolean bad;
        private final boolean good;

        Targets(boolean bad, boolean good) {
            this.bad = bad;
            this.good = good;
        }
    }

    private void addTargets(Targets which) throws Exception {
        if (which.bad) {
            addTarget((r, c) -> c.send(ERROR));
            addTarget((r, c) -> c.reset());
        }
        if (which.good) {
            addTarget((r, c) -> {
                if (r.line().contains("/stream/")) {
                    c.send(EVENTS).chunk(EVENT).send("0\r\n\r\n");
                } else {
                    c.send(WHOLE);
                }
            });
        }
    }

    @ParameterizedTest
    @MethodSource("requestsAndErrors")
    void requestGetsAResponseWhateverFails(String kind, Throwable error, Targets which) throws Exception {
        addTargets(which);
        int failures = 0;
        for (int n = 0; n < MAX_READINGS; n++) {
            relay.failReading(n, error);
            int status = send(kind, n);
            failures += relay.hasFailed() ? 1 : 0;
            Assertions.assertTrue(List.of(200, 500, 502).contains(status), "status " + status);
        }
        Assertions.assertTrue(failures > 3, failures + " readings failed");
    }

    /** Returns the status; 502 if the response was cut after its head, which the client notices as well. */
    private int send(String kind, int number) throws Exception {
        HttpRequest r = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + relay.port() + "/" + kind + "/x" + number))
                .timeout(Duration.ofSeconds(10))
                .header("X-Attempt", "attempt-" + number)
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .build();
        // the timeout of the request ends with the head of the response
        CompletableFuture<HttpResponse<String>> response = client.sendAsync(r, HttpResponse.BodyHandlers.ofString());
        try {
            return response.get(10, TimeUnit.SECONDS).statusCode();
        } catch (ExecutionException e) {
            Assertions.assertTrue(kind.equals("stream") && relay.hasFailed(), () -> "cut: " + e.getCause());
            return 502;
        }
    }
}
