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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a response whose status, stamp and body belong to different runs, and against an interrupted stream that looks complete:
 * every order of two responses of two targets.
 */
class ResponseOrderTest {

    private static final Pattern STAMP = Pattern.compile("(?i)x-stamp: (\\S+)");
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");
    private static final List<Integer> OWN_STATUSES = List.of(502, 503, 504);

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<ScriptedRun.Run> runs = new CopyOnWriteArrayList<>();
    private RelayFixture entry;
    private RelayFixture helper;

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

    static List<Arguments> orders() {
        List<Arguments> out = new ArrayList<>();
        for (RequestKind kind : List.of(RequestKind.STREAM, RequestKind.IDEMPOTENT)) {
            for (ScriptedRun first : ScriptedRun.values()) {
                for (ScriptedRun second : secondRuns(kind, first)) {
                    if (kind == RequestKind.STREAM || !first.hasEvents() && !second.hasEvents()) {
                        out.add(Arguments.of(kind, first, second, false));
                        out.add(Arguments.of(kind, first, second, true));
                    }
                }
            }
        }
        return out;
    }

    private static List<ScriptedRun> secondRuns(RequestKind kind, ScriptedRun first) {
        if (first.isFinal(kind)) {
            return List.of(ScriptedRun.OK);
        }
        return first.isSilent()
                ? List.of(ScriptedRun.EVENTS, ScriptedRun.NO_EVENT, ScriptedRun.OK, ScriptedRun.ERROR)
                : Stream.of(ScriptedRun.values()).filter(r -> !r.isSilent()).toList();
    }

    /** Adds two targets; the first one that gets a request responds in one way, and the second one in another. */
    private void addTargets(ScriptedRun first, ScriptedRun second, boolean forwarded) throws Exception {
        if (forwarded) {
            try (ServerSocket closed = new ServerSocket(0)) {
                entry.add("app", "i-app", closed.getLocalPort());
                entry.add("llm", "i-llm", closed.getLocalPort());
            }
            entry.addEntry("helper", helper);
        }
        RelayFixture sender = forwarded ? helper : entry;
        for (int i = 0; i < 2; i++) {
            ScriptedTarget t = new ScriptedTarget((r, c) -> {
                int run = runs.size() + 1;
                ScriptedRun.Run started = ScriptedRun.Run.of(r, "run-" + run, run == 1 ? first : second);
                runs.add(started);
                started.respond(c);
            });
            targets.add(t);
            sender.add("app", "i-app" + i, t.port());
            sender.add("llm", "i-llm" + i, t.port());
        }
    }

    @ParameterizedTest(name = "{0} {1} {2} {3}")
    @MethodSource("orders")
    void callerGetsTheResponseOfOneRun(RequestKind kind, ScriptedRun first, ScriptedRun second, boolean forwarded)
            throws Exception {
        addTargets(first, second, forwarded);
        RawResponse r = RawResponse.request(entry.port(), "HTTP/1.1", kind, "X-Deadline: 1500\r\n");
        long counted =
                runs.stream().filter(x -> x.how() != ScriptedRun.REJECTED).count();
        Assertions.assertTrue(counted <= (first.isFinal(kind) ? 1 : 2), runs::toString);
        Matcher stamp = STAMP.matcher(r.head());
        if (!stamp.find()) {
            assertRefused(r);
            return;
        }
        ScriptedRun.Run run = runs.stream()
                .filter(x -> x.stamp().equals(stamp.group(1)))
                .findFirst()
                .orElseThrow();
        Assertions.assertEquals(run.how().status(), r.status(), r::toString);
        if (run.how().hasEvents()) {
            assertStream(r, run, forwarded);
        } else {
            Assertions.assertTrue(run.how().isWhole() && r.isComplete(), r::toString);
            Assertions.assertEquals(run.body(), r.content());
        }
    }

    private void assertRefused(RawResponse r) {
        Assertions.assertTrue(OWN_STATUSES.contains(r.status()), r::toString);
        boolean ran = runs.stream().anyMatch(x -> x.how() != ScriptedRun.REJECTED);
        Assertions.assertFalse(ran && r.status() == 503, "refused as not run: " + runs);
    }

    /** The head is that of the first event, no event is missing or repeated, and a stream looks complete only if a run completed it. */
    private void assertStream(RawResponse r, ScriptedRun.Run head, boolean forwarded) {
        List<Integer> ids = new ArrayList<>();
        List<String> stamps = new ArrayList<>();
        Matcher m = EVENT.matcher(r.content());
        while (m.find()) {
            ids.add(Integer.parseInt(m.group(1)));
            stamps.add(m.group(2));
        }
        Assertions.assertEquals(head.stamp(), stamps.get(0), r::toString);
        Assertions.assertEquals(Stream.iterate(1, i -> i + 1).limit(ids.size()).toList(), ids, r::toString);
        ScriptedRun last = runs.get(runs.size() - 1).how();
        boolean completed = last == ScriptedRun.EVENTS
                // the interrupted run may have sent its last event; another entry may hold a part of the next one
                || last == ScriptedRun.NO_EVENT
                        && !(forwarded && runs.get(0).how().isSilent())
                        && runs.stream().noneMatch(x -> x.how().showsFurtherEvent());
        Assertions.assertEquals(completed, r.isComplete(), () -> runs + " " + r);
    }

    /** A caller that has all events and not the end of the stream asks for the rest. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callerResumesAfterTheLastEvent(boolean forwarded) throws Exception {
        addTargets(ScriptedRun.NO_EVENT, ScriptedRun.NO_EVENT, forwarded);
        RawResponse r = RawResponse.request(entry.port(), "HTTP/1.1", RequestKind.STREAM, "Last-Event-Id: 3\r\n");
        Assertions.assertEquals(200, r.status(), r::toString);
        Assertions.assertTrue(r.head().contains("X-Stamp: run-1"), r::toString);
        Assertions.assertTrue(r.isComplete(), r::toString);
        Assertions.assertEquals(0, EVENT.matcher(r.content()).results().count());
        Assertions.assertEquals(1, runs.size());
    }

    /** Guards against events of two runs in one stream, where no id says with which event to go on. */
    @Test
    void streamWithoutIdsIsNotResumed() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n";
        AtomicInteger started = new AtomicInteger();
        for (int i = 0; i < 2; i++) {
            ScriptedTarget t = new ScriptedTarget((r, c) -> {
                int run = started.incrementAndGet();
                c.send(head).chunk("data: run-" + run + "\n\n");
                if (run == 1) {
                    c.reset();
                } else {
                    c.chunk("data: run-" + run + "\n\n").send("0\r\n\r\n");
                }
            });
            targets.add(t);
            entry.add("llm", "i-llm" + i, t.port());
        }
        RawResponse r = RawResponse.request(entry.port(), "HTTP/1.1", RequestKind.STREAM);
        Assertions.assertEquals("data: run-1\n\n", r.content());
        Assertions.assertFalse(r.isComplete(), r::toString);
    }

    /** Guards against a run that ignores Last-Event-Id and ends before the last event that the caller has. */
    @Test
    void shorterRunDoesNotCompleteAStream() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n";
        String event = "id: 1\ndata: 1\n\n";
        for (int i = 0; i < 2; i++) {
            ScriptedTarget t = new ScriptedTarget((r, c) -> {
                c.send(head).chunk(event);
                if (r.headers().containsKey("last-event-id")) {
                    c.send("0\r\n\r\n");
                } else {
                    c.chunk("id: 2\ndata: 2\n\n").reset();
                }
            });
            targets.add(t);
            entry.add("llm", "i-llm" + i, t.port());
        }
        RawResponse r = RawResponse.request(entry.port(), "HTTP/1.1", RequestKind.STREAM);
        Assertions.assertFalse(r.isComplete(), r::toString);
    }
}
