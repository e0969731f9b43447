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
package org.hallwall.entry.relay;

import java.time.Duration;
import java.util.List;

import org.hallwall.core.id.AttemptId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.EngineException;
import org.hallwall.engine.EngineOrder;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.RunFrame;
import org.hallwall.fakes.FakeStutteringServer;
import org.hallwall.program.InterimResponses;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Guards against a surplus response of an engine that is taken for the response to the next order, run or cancellation. */
class EngineSurplusResponseTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int SERIES = 12;
    private static final EngineClient ENGINES =
            new EngineClient(InterimResponses.skip(HttpClient.create(EngineClient.createPool())));

    /** Sends a first request, since loading the classes of the client may exceed its timeout of orders and cancellations. */
    @BeforeAll
    static void loadClasses() throws Exception {
        try (FakeStutteringServer engine = new FakeStutteringServer(
                FakeStutteringServer.Timing.BEHIND, (run, line) -> runResponse(run, true), (run, line) -> "")) {
            ENGINES.resumeRun(engine.address(), attempt(1), 0).blockLast(TIMEOUT);
        }
    }

    /** Whether an engine accepts a request; every third one is refused. */
    private static boolean accepts(int run) {
        return run % 3 != 0;
    }

    private static String orderResponse(boolean accepted) {
        return FakeStutteringServer.response(accepted ? 200 : 409, "application/json", "{}");
    }

    private static String cancelResponse(boolean started) {
        return FakeStutteringServer.response(200, "application/json", "{\"started\":" + started + "}");
    }

    private static String runResponse(int run, boolean accepted) {
        return accepted
                ? FakeStutteringServer.response(
                        200, "application/x-ndjson", "{\"attempt\":\"a" + run + "\",\"n\":0,\"end\":\"STOP\"}\n")
                : FakeStutteringServer.response(503, "application/json", "{}");
    }

    private static AttemptId attempt(int run) {
        return new AttemptId("a" + run);
    }

    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachOrderGetsItsOwnResponse(FakeStutteringServer.Timing timing) throws Exception {
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LEAVE, new GroupId("g"), null, FencingToken.NONE, 0, null, null, null, null, null);
        try (FakeStutteringServer engine = new FakeStutteringServer(
                timing, (run, line) -> orderResponse(accepts(run)), (run, line) -> orderResponse(!accepts(run)))) {
            for (int i = 1; i <= SERIES; i++) {
                EngineException failure = ENGINES.sendOrder(engine.address(), order)
                        .then(Mono.<EngineException>empty())
                        .onErrorResume(EngineException.class, Mono::just)
                        .block(TIMEOUT);
                Verdict verdict = failure == null ? null : failure.verdict();
                Assertions.assertEquals(accepts(i) ? null : Verdict.NOT_RUN, verdict, "order " + i + ": " + failure);
                engine.sendLateResponses();
            }
        }
    }

    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachCancellationGetsItsOwnResponse(FakeStutteringServer.Timing timing) throws Exception {
        try (FakeStutteringServer engine = new FakeStutteringServer(
                timing, (run, line) -> cancelResponse(accepts(run)), (run, line) -> cancelResponse(!accepts(run)))) {
            for (int i = 1; i <= SERIES; i++) {
                Assertions.assertEquals(
                        accepts(i),
                        ENGINES.cancelRun(engine.address(), attempt(i))
                                .block(TIMEOUT)
                                .started(),
                        "run " + i);
                engine.sendLateResponses();
            }
        }
    }

    /** A refusal that belongs to an earlier run must not state that a run was not started. */
    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachRunGetsItsOwnResponse(FakeStutteringServer.Timing timing) throws Exception {
        try (FakeStutteringServer engine = new FakeStutteringServer(
                timing,
                (run, line) -> runResponse(run, accepts(run)),
                (run, line) -> runResponse(run, !accepts(run)))) {
            for (int i = 1; i <= SERIES; i++) {
                EngineRun run = new EngineRun(attempt(i), new GroupId("g"), FencingToken.NONE, null, "p", 1, 0);
                assertOwnFrames(i, ENGINES.startRun(engine.address(), run));
                engine.sendLateResponses();
            }
        }
    }

    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachResumedRunGetsItsOwnResponse(FakeStutteringServer.Timing timing) throws Exception {
        try (FakeStutteringServer engine = new FakeStutteringServer(
                timing,
                (run, line) -> runResponse(run, accepts(run)),
                (run, line) -> runResponse(run, !accepts(run)))) {
            for (int i = 1; i <= SERIES; i++) {
                assertOwnFrames(i, ENGINES.resumeRun(engine.address(), attempt(i), 0));
                engine.sendLateResponses();
            }
        }
    }

    private static void assertOwnFrames(int run, Flux<List<RunFrame>> frames) {
        String outcome = frames.flatMapIterable(batch -> batch)
                .map(f -> f.attempt().toString())
                .onErrorResume(EngineException.class, e -> Mono.just(e.verdict().name()))
                .collectList()
                .block(TIMEOUT)
                .toString();
        Assertions.assertEquals(
                accepts(run) ? "[" + attempt(run) + "]" : "[" + Verdict.NOT_RUN + "]", outcome, "run " + run);
    }
}
