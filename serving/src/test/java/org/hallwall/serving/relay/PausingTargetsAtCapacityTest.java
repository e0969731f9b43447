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
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.serving.target.GroupLiveness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusals while targets have free slots: targets that pause for a second were avoided, and requests were sent to full
 * ones instead.
 */
class PausingTargetsAtCapacityTest {

    private static final int TARGETS = 6;
    private static final int SLOTS = 4;
    private static final int EVENTS = 4;
    private static final long EVENT_MILLIS = 100;
    /** Targets pause for the first half of each period. */
    private static final long PERIOD_MILLIS = 2_000;

    private static final long LOAD_MILLIS = 6_000;
    private static final double RETRY_RATIO = 0.1;
    private static final double EXTRA_RETRIES = 5;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, AtomicInteger> outcomes = new TreeMap<>();
    private final long startedAt = System.nanoTime();
    private RelayFixture relay;

    @AfterEach
    void close() {
        relay.close();
        targets.forEach(ScriptedTarget::close);
    }

    private long elapsedMillis() {
        return Duration.ofNanos(System.nanoTime() - startedAt).toMillis();
    }

    private void addTargets(int pausing) throws IOException {
        for (int i = 1; i <= TARGETS; i++) {
            boolean pauses = i <= pausing;
            AtomicInteger running = new AtomicInteger();
            ScriptedTarget t = new ScriptedTarget((r, c) -> {
                try {
                    if (running.incrementAndGet() > SLOTS) {
                        c.send("HTTP/1.1 503 Full\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                    } else {
                        stream(r, c, pauses);
                    }
                } finally {
                    running.decrementAndGet();
                }
            });
            targets.add(t);
            relay.add("llm", "i-" + i, t.port());
        }
    }

    private void stream(ScriptedTarget.Request r, ScriptedTarget.Connection c, boolean pauses) throws IOException {
        c.send("HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n");
        int last = Integer.parseInt(r.headers().getOrDefault("last-event-id", "0"));
        for (int id = last + 1; id <= EVENTS; id++) {
            await(EVENT_MILLIS);
            long phase = elapsedMillis() % PERIOD_MILLIS;
            if (pauses && phase < PERIOD_MILLIS / 2) {
                await(PERIOD_MILLIS / 2 - phase);
            }
            c.chunk("id: " + id + "\ndata: " + id + "\n\n");
        }
        c.send("0\r\n\r\n");
    }

    private static void await(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void call(int caller) {
        int number = 0;
        while (elapsedMillis() < LOAD_MILLIS) {
            HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + "/stream/x"))
                    .timeout(Duration.ofSeconds(10))
                    .header("X-Attempt", caller + "-" + ++number)
                    .header("X-Deadline", "4000")
                    .header("X-Model", "m")
                    .header("X-Key", "secret")
                    .build();
            count(send(r));
        }
    }

    private String send(HttpRequest r) {
        try {
            HttpResponse<String> a = client.send(r, HttpResponse.BodyHandlers.ofString());
            return a.statusCode() == 200 && !a.body().endsWith("data: " + EVENTS + "\n\n")
                    ? "incomplete"
                    : "" + a.statusCode();
        } catch (IOException | InterruptedException e) {
            return "cut";
        }
    }

    private synchronized void count(String outcome) {
        outcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
    }

    @ParameterizedTest
    @CsvSource({"2, 14, UNKNOWN", "2, 20, UNKNOWN", "2, 20, WORKING", "1, 20, UNKNOWN"})
    void requestsAreServedWhileTargetsHaveFreeSlots(int pausing, int callers, GroupLiveness liveness) throws Exception {
        relay = new RelayFixture(RETRY_RATIO, EXTRA_RETRIES);
        relay.setLiveness(liveness);
        addTargets(pausing);
        List<CompletableFuture<Void>> running = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            int caller = i;
            CompletableFuture<Void> done = new CompletableFuture<>();
            Thread t = new Thread(() -> {
                call(caller);
                done.complete(null);
            });
            t.setDaemon(true);
            t.start();
            running.add(done);
        }
        running.forEach(CompletableFuture::join);
        int arrivals = targets.stream().mapToInt(t -> t.requests().size()).sum();
        int requests = outcomes.values().stream().mapToInt(AtomicInteger::get).sum();
        Assertions.assertEquals(Set.of("200"), outcomes.keySet(), outcomes.toString());
        Assertions.assertTrue(
                arrivals - requests <= RETRY_RATIO * requests + EXTRA_RETRIES, arrivals + " of " + requests);
    }
}
