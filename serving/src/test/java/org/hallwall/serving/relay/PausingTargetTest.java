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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against ending a request whose target pauses for a moment and continues, while no other target has responded: such requests
 * got 502, and such streams were cut.
 */
class PausingTargetTest {

    /** Longer than every stall timeout, shorter than the deadline. */
    private static final long PAUSE_MILLIS = 1_200;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\n";
    private static final String EVENTS = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PLAIN = HEAD + "Content-Length: 5\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int TOTAL_EVENTS = 4;

    /** Where a target pauses. */
    private enum Moment {
        BEFORE_HEAD,
        AFTER_HEAD,
        BETWEEN_EVENTS,
        BEFORE_END
    }

    /** What the other target does meanwhile. */
    private enum Other {
        BUSY(rejection(503)),
        TOO_MANY_REQUESTS(rejection(429)),
        ERROR((r, c) -> c.send("HTTP/1.1 500 Error\r\nX-Attempt: ATTEMPT\r\nContent-Length: 0\r\n\r\n")),
        NOT_FOUND((r, c) -> c.send("HTTP/1.1 404 Not Found\r\nX-Attempt: ATTEMPT\r\nContent-Length: 0\r\n\r\n")),
        RESET((r, c) -> c.reset()),
        SILENT((r, c) -> c.awaitClose());

        private final ScriptedTarget.Script script;

        Other(ScriptedTarget.Script script) {
            this.script = script;
        }

        private static ScriptedTarget.Script rejection(int status) {
            String text =
                    "HTTP/1.1 " + status + " Busy\r\nX-Attempt: ATTEMPT\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            return (r, c) -> c.send(text);
        }
    }

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final CountDownLatch pauseCut = new CountDownLatch(1);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture relay;

    @BeforeEach
    void open() throws Exception {
        relay = new RelayFixture();
    }

    @AfterEach
    void close() {
        pauseCut.countDown();
        relay.close();
        targets.forEach(ScriptedTarget::close);
    }

    private void pause() throws IOException {
        try {
            pauseCut.await(PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Adds targets; the first one that gets a request runs one script, and the others run another one. */
    private void addTargets(String service, int count, ScriptedTarget.Script first, ScriptedTarget.Script others)
            throws IOException {
        for (int i = 1; i <= count; i++) {
            ScriptedTarget t = new ScriptedTarget((r, c) -> {
                if (requests.incrementAndGet() == 1) {
                    first.respond(r, c);
                } else {
                    others.respond(r, c);
                }
            });
            targets.add(t);
            relay.add(service, "i-" + i, t.port());
        }
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: " + id + "\n\n";
    }

    private static String events(int first) {
        return IntStream.rangeClosed(first, TOTAL_EVENTS)
                .mapToObj(PausingTargetTest::event)
                .collect(Collectors.joining());
    }

    private ScriptedTarget.Script pausingStream(Moment moment) {
        return (r, c) -> {
            pauseAt(Moment.BEFORE_HEAD, moment);
            c.send(EVENTS);
            pauseAt(Moment.AFTER_HEAD, moment);
            c.chunk(event(1)).chunk(event(2));
            pauseAt(Moment.BETWEEN_EVENTS, moment);
            c.chunk(events(3));
            pauseAt(Moment.BEFORE_END, moment);
            c.send(LAST_CHUNK);
        };
    }

    private ScriptedTarget.Script pausingResponse(Moment moment) {
        return (r, c) -> {
            pauseAt(Moment.BEFORE_HEAD, moment);
            c.send(PLAIN);
            pauseAt(Moment.AFTER_HEAD, moment);
            c.send("hel");
            pauseAt(Moment.BETWEEN_EVENTS, moment);
            c.send("lo");
        };
    }

    private void pauseAt(Moment here, Moment moment) throws IOException {
        if (here == moment) {
            pause();
        }
    }

    private HttpResponse<String> send(String kind) throws Exception {
        HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + relay.port() + "/" + kind + "/x"))
                .timeout(Duration.ofSeconds(10))
                .header("X-Attempt", "attempt-1")
                .header("X-Deadline", "3500")
                .header("X-Model", "m")
                .header("X-Key", "secret")
                .build();
        return client.send(r, HttpResponse.BodyHandlers.ofString());
    }

    private int runsStarted() {
        return targets.stream().mapToInt(t -> t.requests().size()).sum();
    }

    static List<Arguments> streamsBesideOtherTargets() {
        List<Arguments> out = new ArrayList<>();
        for (Moment m : Moment.values()) {
            for (Other o : Other.values()) {
                out.add(Arguments.of(m, o, GroupLiveness.WORKING));
                out.add(Arguments.of(m, o, GroupLiveness.UNKNOWN));
                if (m == Moment.BETWEEN_EVENTS || m == Moment.BEFORE_END) {
                    out.add(Arguments.of(m, o, GroupLiveness.LOST));
                }
            }
        }
        return out;
    }

    @ParameterizedTest
    @MethodSource("streamsBesideOtherTargets")
    void streamOfAPausingTargetIsCompletedWhenNoOtherTargetTakesIt(Moment moment, Other other, GroupLiveness liveness)
            throws Exception {
        relay.setLiveness(liveness);
        addTargets("llm", 3, pausingStream(moment), other.script);
        HttpResponse<String> a = send("stream");
        Assertions.assertEquals(200, a.statusCode());
        Assertions.assertEquals(events(1), a.body());
        Assertions.assertTrue(runsStarted() <= 1 + 4, "the first run, and the rejected attempts that are allowed");
    }

    /** What the tables of the entry say about a group whose stream is in progress. */
    private enum Announcement {
        CLOSED,
        GONE
    }

    @ParameterizedTest
    @EnumSource(Announcement.class)
    void streamOfAGroupThatLeavesTheTablesIsCompleted(Announcement what) throws Exception {
        ScriptedTarget.Script pausing = (r, c) -> {
            c.send(EVENTS).chunk(event(1)).chunk(event(2));
            if (what == Announcement.GONE) {
                relay.remove("i-1");
            } else {
                GroupMembership closed = new GroupMembership("g-i-1", 1, 0, GroupState.READY);
                relay.announce("llm", "i-1", targets.get(0).port(), closed);
            }
            pause();
            c.chunk(events(3)).send(LAST_CHUNK);
        };
        addTargets("llm", 1, pausing, Other.BUSY.script);
        HttpResponse<String> a = send("stream");
        Assertions.assertEquals(200, a.statusCode());
        Assertions.assertEquals(events(1), a.body());
    }

    static List<Arguments> requestsBesideOtherTargets() {
        List<Arguments> out = new ArrayList<>();
        for (Moment m : List.of(Moment.BEFORE_HEAD, Moment.AFTER_HEAD, Moment.BETWEEN_EVENTS)) {
            for (Other o : Other.values()) {
                out.add(Arguments.of(m, o));
            }
        }
        return out;
    }

    @ParameterizedTest
    @MethodSource("requestsBesideOtherTargets")
    void responseOfAPausingTargetIsReturnedWhenNoOtherTargetResponds(Moment moment, Other other) throws Exception {
        addTargets("app", 3, pausingResponse(moment), other.script);
        HttpResponse<String> a = send("idempotent");
        Assertions.assertEquals(200, a.statusCode(), a::body);
        Assertions.assertEquals("hello", a.body());
        Assertions.assertTrue(runsStarted() <= 1 + 4, "the first run, and the rejected attempts that are allowed");
    }

    @ParameterizedTest
    @EnumSource(
            value = Moment.class,
            names = {"BEFORE_HEAD", "AFTER_HEAD", "BETWEEN_EVENTS"})
    void responseOfTheOnlyTargetIsAwaited(Moment moment) throws Exception {
        addTargets("app", 1, pausingResponse(moment), Other.ERROR.script);
        HttpResponse<String> a = send("idempotent");
        Assertions.assertEquals(200, a.statusCode(), a::body);
        Assertions.assertEquals("hello", a.body());
        Assertions.assertEquals(1, runsStarted());
    }

    @ParameterizedTest
    @EnumSource(
            value = Moment.class,
            names = {"BEFORE_HEAD", "AFTER_HEAD", "BETWEEN_EVENTS"})
    void streamOfASilentTargetContinuesAtTheOneThatRespondsFirst(Moment moment) throws Exception {
        CountDownLatch abandoned = new CountDownLatch(1);
        addTargets("llm", 2, silentStream(moment, abandoned), (r, c) -> {
            c.send(EVENTS);
            int last = Integer.parseInt(r.headers().getOrDefault("last-event-id", "0"));
            c.chunk(events(last + 1)).send(LAST_CHUNK);
        });
        HttpResponse<String> a = send("stream");
        Assertions.assertEquals(200, a.statusCode());
        Assertions.assertEquals(events(1), a.body());
        Assertions.assertEquals(2, runsStarted());
        Assertions.assertTrue(abandoned.await(2, TimeUnit.SECONDS), "the run that lost is cancelled");
    }

    private ScriptedTarget.Script silentStream(Moment moment, CountDownLatch abandoned) {
        return (r, c) -> {
            if (moment != Moment.BEFORE_HEAD) {
                c.send(EVENTS);
            }
            if (moment == Moment.BETWEEN_EVENTS) {
                c.chunk(event(1)).chunk(event(2));
            }
            c.awaitClose();
            abandoned.countDown();
        };
    }

    @ParameterizedTest
    @EnumSource(GroupLiveness.class)
    void secondRunIsCancelledWhenTheFirstContinues(GroupLiveness liveness) throws Exception {
        relay.setLiveness(liveness);
        CountDownLatch cancelled = new CountDownLatch(1);
        addTargets("llm", 2, pausingStream(Moment.BETWEEN_EVENTS), (r, c) -> {
            c.send(EVENTS).awaitClose();
            cancelled.countDown();
        });
        HttpResponse<String> a = send("stream");
        Assertions.assertEquals(events(1), a.body());
        Assertions.assertEquals(2, runsStarted());
        Assertions.assertTrue(cancelled.await(2, TimeUnit.SECONDS), "the run that lost is cancelled");
    }
}
