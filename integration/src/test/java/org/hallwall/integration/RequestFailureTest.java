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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.hallwall.engine.RunFrame;
import org.hallwall.fakes.FakeAccount;
import org.hallwall.fakes.FakeAnswer;
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

/** One whole answer, or an honest refusal, while targets and links fail; judged by the targets' own accounts. */
class RequestFailureTest {

    private static final String NORMAL =
            "{\"paused\": false, \"leaving\": false, \"slowFactor\": 1, \"cutAfterToken\": -1,"
                    + " \"foreignFrames\": false, \"doubledFrames\": false, \"silentRuns\": false, \"cutService\": false,"
                    + " \"dieAfterToken\": -1}";

    private static Fleet fleet;

    private Caller caller;

    @BeforeAll
    static void start() throws Exception {
        FleetPlan plan = FleetPlan.oneDomain()
                .engines("da", "fa", 2, "\"tokensPerSecond\": 100, \"weightMillis\": 100")
                .engines("da", "fb", 2, "\"tokensPerSecond\": 100, \"weightMillis\": 100")
                .service("da", "booking", "s1")
                .service("da", "booking", "s2");
        fleet = new Fleet(plan).start();
        fleet.declare("{\"model\": \"x\", \"version\": \"1\", \"targetsPerReplica\": 2, \"replicas\": 2}");
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    @BeforeEach
    void settle() {
        fleet.awaitGroups("da", 2);
        fleet.awaitClaims("da");
        caller = new Caller(fleet.callers("e1"));
    }

    @AfterEach
    void heal() throws IOException {
        fleet.healAll();
        for (FleetTarget t : fleet.targets()) {
            t.faults(NORMAL);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void wholeAnswerThroughSlowLinks(boolean stream) throws IOException {
        for (String t : List.of("fa-1", "fa-2", "fb-1", "fb-2")) {
            fleet.targetProxy(t).delay(20);
        }
        Http.Reply r = caller.chat("slow links " + stream, 12, stream);
        for (String t : List.of("fa-1", "fa-2", "fb-1", "fb-2")) {
            fleet.targetProxy(t).delay(0);
        }
        assertWhole(r, "slow links " + stream, 12);
    }

    @ParameterizedTest
    @ValueSource(strings = {"foreignFrames", "doubledFrames"})
    void framesThatAreNotItsOwnAreDropped(String fault) throws IOException {
        for (FleetTarget t : fleet.targets()) {
            t.faults("{\"" + fault + "\": true}");
        }
        assertWhole(caller.chat("own " + fault, 20, true), "own " + fault, 20);
    }

    @Test
    void runGoesOnAfterItsConnectionBroke() throws IOException {
        for (FleetTarget t : fleet.targets()) {
            t.faults("{\"cutAfterToken\": 5}");
        }
        assertWhole(caller.chat("cut", 20, true), "cut", 20);
        assertEquals(1, runs("cut").size(), "the same run went on");
    }

    @Test
    void deadTargetBeforeFirstByteIsTriedElsewhere() throws IOException {
        // The proxies of one group's targets refuse nothing, but break at once.
        for (FleetTarget t : fleet.targets()) {
            t.faults("{\"dieAfterToken\": -1}");
        }
        for (int i = 0; i < 6; i++) {
            fleet.targetProxy("fa-1").reset();
            fleet.targetProxy("fb-1").reset();
            assertWhole(caller.chat("reset " + i, 6, false), "reset " + i, 6);
        }
    }

    @Test
    void notRepeatableRunsAtMostOnceWhenItsOutcomeIsLost() throws IOException {
        for (String s : List.of("s1", "s2")) {
            fleet.target(s).faults("{\"cutService\": true}");
        }
        Http.Reply r = caller.call("POST", "/services/booking/reels", "{\"reel\": 7}");
        assertEquals(502, r.status());
        assertEquals("MAY_HAVE_RUN", r.verdict());
        assertEquals(1, calls("{\"reel\": 7}"));
    }

    @Test
    void repeatableCallIsRepeated() throws IOException {
        fleet.target("s1").faults("{\"cutService\": true}");
        for (int i = 0; i < 4; i++) {
            Http.Reply r = caller.call("PUT", "/services/booking/reels/" + i, "{\"put\": 1}");
            assertEquals(200, r.status(), r.text());
        }
    }

    @Test
    void silentEngineIsGivenUpAtTheDeadlineAndNotBefore() throws IOException {
        for (FleetTarget t : fleet.targets()) {
            t.faults("{\"silentRuns\": true}");
        }
        long before = System.nanoTime();
        Http.Reply r = caller.chat("silent", 4_000, false, "Hallwall-Deadline-Ms", "1500");
        long millis = (System.nanoTime() - before) / 1_000_000;
        assertEquals(504, r.status());
        assertEquals("MAY_HAVE_RUN", r.verdict());
        assertTrue(millis >= 1_400 && millis < 4_000, "took " + millis);
        Fleet.await()
                .untilAsserted(() -> assertEquals(
                        RunFrame.End.CANCELLED, runs("silent").get(0).end()));
    }

    @Test
    void leavingTargetGetsNothingNewAndFinishesWhatItHas() throws Exception {
        List<CompletableFuture<Http.Reply>> running = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            running.add(caller.chatAsync("leaving " + i, 150, true));
        }
        Fleet.await().until(() -> countRuns("leaving ") == 6);
        fleet.target("fa-1").faults("{\"leaving\": true}");
        Fleet.await().atMost(Duration.ofSeconds(2)).until(() -> fleet.usableGroups("e1") == 1);
        int before = fleet.target("fa-1").account().runs().size();
        for (int i = 0; i < 10; i++) {
            assertWhole(caller.chat("after leaving " + i, 3, false), "after leaving " + i, 3);
        }
        assertEquals(before, fleet.target("fa-1").account().runs().size(), "a leaving target gets nothing new");
        for (int i = 0; i < 6; i++) {
            assertWhole(running.get(i).join(), "leaving " + i, 150);
        }
    }

    @Test
    void noRunStartsOnAGroupThatMissesAMember() throws Exception {
        fleet.target("fb-2").faults("{\"paused\": true}");
        long cutAt = System.currentTimeMillis();
        Fleet.await().until(() -> fleet.usableGroups("e1") == 1);
        for (int i = 0; i < 10; i++) {
            assertWhole(caller.chat("paused " + i, 3, false), "paused " + i, 3);
        }
        for (FakeAccount.RunRecord r : fleet.target("fb-1").account().runs()) {
            assertFalse(r.at() > cutAt + 2_000, "a run began " + (r.at() - cutAt) + " ms after the pause");
        }
        fleet.target("fb-2").faults(NORMAL);
        // A pause costs seconds and not a new group: the group is the one from before.
        fleet.awaitGroups("da", 2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void sameKeyRunsOnceAtAnyEntry(boolean stream) throws Exception {
        String key = "key-" + stream;
        List<CompletableFuture<Http.Reply>> replies = new ArrayList<>();
        for (String e : List.of("e1", "e2", "e3", "e1", "e2", "e3")) {
            replies.add(new Caller(fleet.callers(e))
                    .chatAsync("keyed " + stream, 40, stream, "Idempotency-Key", key, "Hallwall-Repeatable", "false"));
        }
        for (CompletableFuture<Http.Reply> r : replies) {
            assertWhole(r.join(), "keyed " + stream, 40);
        }
        // After the end the answer is kept.
        Http.Reply again = new Caller(fleet.callers("e2"))
                .chat("keyed " + stream, 40, stream, "Idempotency-Key", key, "Hallwall-Repeatable", "false");
        assertWhole(again, "keyed " + stream, 40);
        assertEquals(1, runs("keyed " + stream).size());
    }

    @Test
    void keyWithAnotherBodyIsRefused() throws IOException {
        assertWhole(caller.chat("first body", 3, false, "Idempotency-Key", "k-body"), "first body", 3);
        Http.Reply r = new Caller(fleet.callers("e3")).chat("other body", 3, false, "Idempotency-Key", "k-body");
        assertEquals(422, r.status());
        assertEquals("NOT_RUN", r.verdict());
    }

    @Test
    void keyedServiceCallRunsOnce() throws IOException {
        for (String e : List.of("e1", "e2", "e3")) {
            Http.Reply r = new Caller(fleet.callers(e))
                    .call("POST", "/services/booking/swap", "{\"swap\": 1}", "Idempotency-Key", "k-swap");
            assertEquals(200, r.status(), r.text());
        }
        assertEquals(1, calls("{\"swap\": 1}"));
    }

    @Test
    void callerThatHasGoneCancelsItsRun() throws Exception {
        CompletableFuture<Http.Reply> reply = caller.chatAsync("gone", 400, true);
        Fleet.await().until(() -> runs("gone").size() == 1);
        reply.cancel(true);
        Fleet.await().untilAsserted(() -> {
            List<FakeAccount.RunRecord> found = runs("gone");
            assertNotNull(found.get(0).end());
            assertEquals(RunFrame.End.CANCELLED, found.get(0).end());
        });
    }

    static void assertWhole(Http.Reply r, String prompt, int tokens) throws IOException {
        assertEquals(200, r.status(), r.text());
        assertEquals(FakeAnswer.whole(Caller.prompt(prompt), tokens), Caller.text(r));
        if ("text/event-stream".equals(r.contentType())) {
            assertTrue(r.text().endsWith("data: [DONE]\n\n"));
        }
    }

    private static List<FakeAccount.RunRecord> runs(String prompt) throws IOException {
        String hash = FakeAnswer.hash(Caller.prompt(prompt));
        List<FakeAccount.RunRecord> out = new ArrayList<>();
        for (FleetTarget t : fleet.targets()) {
            for (FakeAccount.RunRecord r : t.account().runs()) {
                if (r.promptHash().equals(hash)) {
                    out.add(r);
                }
            }
        }
        return out;
    }

    private static int countRuns(String prefix) throws IOException {
        int n = 0;
        for (int i = 0; i < 6; i++) {
            n += runs(prefix + i).size();
        }
        return n;
    }

    private static int calls(String body) throws IOException {
        int n = 0;
        for (String s : List.of("s1", "s2")) {
            for (FakeAccount.CallRecord c : fleet.target(s).account().calls()) {
                n += c.bodyHash().equals(FakeAnswer.hash(body)) ? 1 : 0;
            }
        }
        return n;
    }
}
