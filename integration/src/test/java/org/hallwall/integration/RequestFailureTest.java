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
package org.hallwall.integration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.hallwall.engine.RunFrame;
import org.hallwall.fakes.FakeCompletion;
import org.hallwall.fakes.FakeTargetHistory;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that each request gets a complete response or the correct verdict while targets and links fail. */
class RequestFailureTest {

    private static final String NO_FAULTS =
            "{\"paused\": false, \"leaving\": false, \"slowFactor\": 1, \"cutAfterToken\": -1,"
                    + " \"foreignFrames\": false, \"doubledFrames\": false, \"silentRuns\": false, \"cutService\": false,"
                    + " \"dieAfterToken\": -1}";

    private static Fleet fleet;

    private EntryClient caller;

    @BeforeAll
    static void start() throws Exception {
        FleetTopology plan = FleetTopology.oneDomain()
                .addEngines("da", "fa", 2, "\"tokensPerSecond\": 100, \"weightMillis\": 100")
                .addEngines("da", "fb", 2, "\"tokensPerSecond\": 100, \"weightMillis\": 100")
                .addService("da", "booking", "s1")
                .addService("da", "booking", "s2");
        fleet = new Fleet(plan).start();
        fleet.declareResources("{\"model\": \"x\", \"version\": \"1\", \"targetsPerReplica\": 2, \"replicas\": 2}");
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    @BeforeEach
    void awaitGroupsAndClaims() {
        fleet.awaitGroups("da", 2);
        fleet.awaitClaims("da");
        caller = new EntryClient(fleet.callersAddress("e1"));
    }

    @AfterEach
    void heal() throws IOException {
        fleet.healAll();
        for (FleetTarget t : fleet.targets()) {
            t.setFaults(NO_FAULTS);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void completeResponseOverSlowLinks(boolean stream) throws IOException {
        for (String t : List.of("fa-1", "fa-2", "fb-1", "fb-2")) {
            fleet.targetProxy(t).delay(20);
        }
        HttpCalls.Response r = caller.chat("slow links " + stream, 12, stream);
        for (String t : List.of("fa-1", "fa-2", "fb-1", "fb-2")) {
            fleet.targetProxy(t).delay(0);
        }
        assertCompleteResponse(r, "slow links " + stream, 12);
    }

    @ParameterizedTest
    @ValueSource(strings = {"foreignFrames", "doubledFrames"})
    void foreignAndDuplicateFramesAreDropped(String fault) throws IOException {
        for (FleetTarget t : fleet.targets()) {
            t.setFaults("{\"" + fault + "\": true}");
        }
        assertCompleteResponse(caller.chat("own " + fault, 20, true), "own " + fault, 20);
    }

    @Test
    void runResumesAfterConnectionLoss() throws IOException {
        for (FleetTarget t : fleet.targets()) {
            t.setFaults("{\"cutAfterToken\": 5}");
        }
        assertCompleteResponse(caller.chat("cut", 20, true), "cut", 20);
        assertEquals(1, runs("cut").size(), "the run was resumed, not repeated");
    }

    @Test
    void requestIsRetriedElsewhereAfterFailureBeforeFirstByte() throws IOException {
        // No target fails; the connections to fa-1 and fb-1 are reset before each request.
        for (FleetTarget t : fleet.targets()) {
            t.setFaults("{\"dieAfterToken\": -1}");
        }
        for (int i = 0; i < 6; i++) {
            fleet.targetProxy("fa-1").reset();
            fleet.targetProxy("fb-1").reset();
            assertCompleteResponse(caller.chat("reset " + i, 6, false), "reset " + i, 6);
        }
    }

    @Test
    void nonRepeatableCallRunsAtMostOnceWhenItsOutcomeIsLost() throws IOException {
        for (String s : List.of("s1", "s2")) {
            fleet.target(s).setFaults("{\"cutService\": true}");
        }
        HttpCalls.Response r = caller.send("POST", "/services/booking/reels", "{\"reel\": 7}");
        assertEquals(502, r.status());
        assertEquals("MAY_HAVE_RUN", r.verdict());
        assertEquals(1, countCalls("{\"reel\": 7}"));
    }

    @Test
    void repeatableCallIsRetried() throws IOException {
        fleet.target("s1").setFaults("{\"cutService\": true}");
        for (int i = 0; i < 4; i++) {
            HttpCalls.Response r = caller.send("PUT", "/services/booking/reels/" + i, "{\"put\": 1}");
            assertEquals(200, r.status(), r.text());
        }
    }

    @Test
    void unresponsiveEngineIsAbandonedAtTheDeadlineAndNotBefore() throws IOException {
        for (FleetTarget t : fleet.targets()) {
            t.setFaults("{\"silentRuns\": true}");
        }
        long before = System.nanoTime();
        HttpCalls.Response r = caller.chat("silent", 4_000, false, "Hallwall-Deadline-Ms", "1500");
        long millis = (System.nanoTime() - before) / 1_000_000;
        assertEquals(504, r.status());
        assertEquals("MAY_HAVE_RUN", r.verdict());
        assertTrue(millis >= 1_400 && millis < 4_000, "took " + millis);
        Fleet.await()
                .untilAsserted(() -> assertEquals(
                        RunFrame.End.CANCELLED, runs("silent").get(0).end()));
    }

    @Test
    void noRunStartsOnAnIncompleteGroup() throws Exception {
        fleet.target("fb-2").setFaults("{\"paused\": true}");
        long cutAt = System.currentTimeMillis();
        Fleet.await().until(() -> fleet.usableGroups("e1") == 1);
        for (int i = 0; i < 10; i++) {
            assertCompleteResponse(caller.chat("paused " + i, 3, false), "paused " + i, 3);
        }
        for (FakeTargetHistory.RunRecord r : fleet.target("fb-1").account().runs()) {
            assertFalse(r.at() > cutAt + 2_000, "a run started " + (r.at() - cutAt) + " ms after the pause");
        }
        fleet.target("fb-2").setFaults(NO_FAULTS);
        // The group becomes usable again once its member responds.
        fleet.awaitGroups("da", 2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void sameKeyRunsOnceAcrossEntries(boolean stream) throws Exception {
        String key = "key-" + stream;
        List<CompletableFuture<HttpCalls.Response>> replies = new ArrayList<>();
        for (String e : List.of("e1", "e2", "e3", "e1", "e2", "e3")) {
            replies.add(new EntryClient(fleet.callersAddress(e))
                    .chatAsync("keyed " + stream, 40, stream, "Idempotency-Key", key, "Hallwall-Repeatable", "false"));
        }
        for (CompletableFuture<HttpCalls.Response> r : replies) {
            assertCompleteResponse(r.join(), "keyed " + stream, 40);
        }
        // The response stays available after the run has ended.
        HttpCalls.Response retried = new EntryClient(fleet.callersAddress("e2"))
                .chat("keyed " + stream, 40, stream, "Idempotency-Key", key, "Hallwall-Repeatable", "false");
        assertCompleteResponse(retried, "keyed " + stream, 40);
        assertEquals(1, runs("keyed " + stream).size());
    }

    @Test
    void keyReusedWithDifferentBodyIsRejected() throws IOException {
        assertCompleteResponse(caller.chat("first body", 3, false, "Idempotency-Key", "k-body"), "first body", 3);
        HttpCalls.Response r =
                new EntryClient(fleet.callersAddress("e3")).chat("other body", 3, false, "Idempotency-Key", "k-body");
        assertEquals(422, r.status());
        assertEquals("NOT_RUN", r.verdict());
    }

    @Test
    void keyedServiceCallRunsOnce() throws IOException {
        for (String e : List.of("e1", "e2", "e3")) {
            HttpCalls.Response r = new EntryClient(fleet.callersAddress(e))
                    .send("POST", "/services/booking/swap", "{\"swap\": 1}", "Idempotency-Key", "k-swap");
            assertEquals(200, r.status(), r.text());
        }
        assertEquals(1, countCalls("{\"swap\": 1}"));
    }

    @Test
    void clientDisconnectCancelsItsRun() throws Exception {
        CompletableFuture<HttpCalls.Response> reply = caller.chatAsync("gone", 400, true);
        Fleet.await().until(() -> runs("gone").size() == 1);
        reply.cancel(true);
        Fleet.await().untilAsserted(() -> {
            List<FakeTargetHistory.RunRecord> found = runs("gone");
            assertNotNull(found.get(0).end());
            assertEquals(RunFrame.End.CANCELLED, found.get(0).end());
        });
    }

    static void assertCompleteResponse(HttpCalls.Response r, String prompt, int tokens) throws IOException {
        assertEquals(200, r.status(), r.text());
        assertEquals(FakeCompletion.fullText(EntryClient.renderPrompt(prompt), tokens), EntryClient.responseText(r));
        if ("text/event-stream".equals(r.contentType())) {
            assertTrue(r.text().endsWith("data: [DONE]\n\n"));
        }
    }

    private static List<FakeTargetHistory.RunRecord> runs(String prompt) throws IOException {
        String hash = FakeCompletion.hash(EntryClient.renderPrompt(prompt));
        List<FakeTargetHistory.RunRecord> out = new ArrayList<>();
        for (FleetTarget t : fleet.targets()) {
            for (FakeTargetHistory.RunRecord r : t.account().runs()) {
                if (r.promptHash().equals(hash)) {
                    out.add(r);
                }
            }
        }
        return out;
    }

    private static int countCalls(String body) throws IOException {
        int n = 0;
        for (String s : List.of("s1", "s2")) {
            for (FakeTargetHistory.CallRecord c : fleet.target(s).account().calls()) {
                n += c.bodyHash().equals(FakeCompletion.hash(body)) ? 1 : 0;
            }
        }
        return n;
    }
}
