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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A target with a rate limit gets no more requests of any kind than there are permits. */
class RateLimitedRelayTest {

    private static final String LIMIT = "X-Rate-Limit: 0\r\n";
    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String EVENTS = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nX-Stamp: s\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: 1\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    /** More than the pooled connections to one target. */
    private static final int REQUEST_BURST = 70;

    private static final int POOL_SIZE = 64;
    private static final int REQUESTS = 20;
    /** The request that returns the limit, and one permit that may be granted during the test. */
    private static final int MAX_REACHED = 2;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger attemptCount = new AtomicInteger();
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

    private ScriptedTarget target(String kind, ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        relay.add(kind.equals("stream") ? "llm" : "app", "i-" + targets.size(), t.port());
        return t;
    }

    private static ScriptedTarget.Script serving(String kind, String header) {
        return (r, c) -> {
            if (kind.equals("stream")) {
                c.send(EVENTS.replace("X-Stamp", header + "X-Stamp"))
                        .chunk(EVENT)
                        .send(LAST_CHUNK);
            } else {
                c.send(WHOLE.replace("X-Stamp", header + "X-Stamp"));
            }
        };
    }

    private CompletableFuture<HttpResponse<String>> send(String kind) {
        HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + "/" + kind + "/x"))
                .timeout(Duration.ofSeconds(10))
                .header("X-Attempt", "attempt-" + attemptCount.incrementAndGet())
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .build();
        return client.sendAsync(r, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> get(String kind) {
        return send(kind).join();
    }

    private static void assertLimited(ScriptedTarget limited) {
        int reached = limited.requests().size();
        Assertions.assertTrue(reached <= MAX_REACHED, () -> reached + " requests reached the target");
    }

    @ParameterizedTest
    @ValueSource(strings = {"idempotent", "non_idempotent", "stream"})
    void otherTargetsServeTheRemainingRequests(String kind) throws Exception {
        ScriptedTarget limited = target(kind, serving(kind, LIMIT));
        target(kind, serving(kind, ""));
        for (int i = 0; i < REQUESTS; i++) {
            Assertions.assertEquals(200, get(kind).statusCode());
        }
        assertLimited(limited);
    }

    @ParameterizedTest
    @CsvSource({
        "503 Busy, X-Not-Run: 1, 0",
        "429 Too Many, X-Not-Run: 1, 0",
        "500 Wrong, X-Nothing: 1, 0",
        "200 OK, X-Nothing: 1, 9"
    })
    void limitIsObeyedOnAnyResponse(String status, String sign, int missing) throws Exception {
        ScriptedTarget limited = target("idempotent", (r, c) -> {
            c.send("HTTP/1.1 " + status + "\r\nX-Attempt: ATTEMPT\r\n" + LIMIT + sign + "\r\nContent-Length: " + missing
                    + "\r\n\r\n");
            if (missing > 0) {
                c.reset();
            }
        });
        target("idempotent", serving("idempotent", ""));
        for (int i = 0; i < REQUESTS; i++) {
            get("idempotent");
        }
        assertLimited(limited);
    }

    /** Without other targets, requests are refused immediately with the time of the next permit as Retry-After. */
    @ParameterizedTest
    @ValueSource(strings = {"idempotent", "non_idempotent", "stream"})
    void onlyTargetIsLimitedToo(String kind) throws Exception {
        ScriptedTarget limited = target(kind, serving(kind, LIMIT));
        get(kind);
        for (int i = 0; i < REQUESTS; i++) {
            HttpResponse<String> a = get(kind);
            Assertions.assertEquals(503, a.statusCode());
            double retryAfter =
                    Double.parseDouble(a.headers().firstValue("Retry-After").orElseThrow());
            Assertions.assertTrue(retryAfter > 0, () -> "Retry-After is " + retryAfter);
        }
        assertLimited(limited);
    }

    @Test
    void streamIsNotResumedWithoutAPermit() throws Exception {
        ScriptedTarget limited = target("stream", serving("stream", LIMIT));
        get("stream");
        ScriptedTarget breaking =
                target("stream", (r, c) -> c.send(EVENTS).chunk(EVENT).reset());
        for (int i = 0; i < 3; i++) {
            send("stream").exceptionally(e -> null).join();
        }
        Assertions.assertFalse(breaking.requests().isEmpty());
        assertLimited(limited);
    }

    /** Requests that wait for a connection to the target must not be sent once one is free. */
    @Test
    void queuedRequestsAreNotSentAfterTheLimitIsKnown() throws Exception {
        CountDownLatch allKeptAreUsed = new CountDownLatch(POOL_SIZE);
        ScriptedTarget limited = target("non_idempotent", (r, c) -> {
            allKeptAreUsed.countDown();
            try {
                allKeptAreUsed.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            c.send(WHOLE.replace("X-Stamp", LIMIT + "X-Stamp"));
        });
        List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
        for (int i = 0; i < REQUEST_BURST; i++) {
            all.add(send("non_idempotent"));
        }
        all.forEach(CompletableFuture::join);
        int reached = limited.requests().size();
        Assertions.assertTrue(reached <= POOL_SIZE + 1, () -> reached + " requests reached the target");
    }

    /** The limit of an instance does not apply to its successor. */
    @Test
    void restartedTargetHasNoLimit() throws Exception {
        target("idempotent", serving("idempotent", LIMIT));
        get("idempotent");
        relay.remove("i-1");
        ScriptedTarget restarted = new ScriptedTarget(serving("idempotent", ""));
        targets.add(restarted);
        relay.add("app", "i-1/1", restarted.port());
        for (int i = 0; i < REQUESTS; i++) {
            Assertions.assertEquals(200, get("idempotent").statusCode());
        }
    }
}
