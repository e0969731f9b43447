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
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.WorkspaceId;
import org.hallwall.entry.claim.IdempotencyKey;
import org.hallwall.fakes.FakeCompletion;
import org.hallwall.fakes.FakeTargetHistory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks forwarding, repair and idempotency keys across two failure domains, with links between them and to the voters cut. */
class CrossDomainTest {

    private static final Set<FailureDomainId> DOMAINS =
            new TreeSet<>(List.of(new FailureDomainId("da"), new FailureDomainId("db")));

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(FleetTopology.twoDomains()
                        .addEngines("db", "fb", 5, "\"tokensPerSecond\": 100, \"weightMillis\": 100"))
                .start();
        fleet.declareResources("{\"model\": \"x\", \"version\": \"1\", \"targetsPerReplica\": 2, \"replicas\": 2}");
        fleet.awaitGroups("db", 2);
        fleet.awaitClaims("da");
        fleet.awaitClaims("db");
        Fleet.await().until(() -> fleet.dump("a1").path("declarationVersion").asLong() > 0);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestIsForwardedToDomainWithCompleteGroup(boolean stream) throws Exception {
        EntryClient caller = new EntryClient(fleet.callersAddress("a1"));
        RequestFailureTest.assertCompleteResponse(caller.chat("remote", 20, stream), "remote", 20);
        assertEquals(1, countRuns("remote"));
        // A request with a key runs once, whichever domain is home of the key and whichever entry receives it.
        for (String home : List.of("da", "db")) {
            String key = keyWithHome(home);
            for (String entry : List.of("a1", "b1", "a1")) {
                HttpCalls.Response r = new EntryClient(fleet.callersAddress(entry))
                        .chat("key " + home, 10, stream, "Idempotency-Key", key, "Hallwall-Repeatable", "false");
                RequestFailureTest.assertCompleteResponse(r, "key " + home, 10);
            }
            assertEquals(1, countRuns("key " + home));
        }
    }

    @Test
    void domainPartitionedFromVotersServesAndRepairs() throws Exception {
        for (String v : List.of("v1", "v2", "v3")) {
            fleet.proxy("b1", v).cut();
        }
        fleet.proxy("a1.runs", "b1").cut();
        Fleet.await().until(() -> fleet.dump("b1").path("declarationsMayBeOld").asBoolean());
        fleet.process(memberOfUsableGroup()).kill();
        Fleet.await().until(() -> fleet.usableGroups("b1") == 1);
        RequestFailureTest.assertCompleteResponse(
                new EntryClient(fleet.callersAddress("b1")).chat("cut", 10, true), "cut", 10);
        Fleet.await().until(() -> fleet.usableGroups("b1") == 2);
        // A request from the other domain fails at its deadline with an unknown outcome.
        HttpCalls.Response r = new EntryClient(fleet.callersAddress("a1"))
                .chat("other side", 10, false, "Hallwall-Deadline-Ms", "1500");
        assertEquals("MAY_HAVE_RUN", r.verdict(), r.text());
        fleet.healAll();
        Fleet.await().until(() -> !fleet.dump("b1").path("declarationsMayBeOld").asBoolean());
        assertTrue(fleet.usableGroups("b1") == 2, "the groups are unchanged");
    }

    @Test
    void keyWithUnreachableHomeIsRejectedAsNotRun() throws Exception {
        fleet.proxy("a1.callers", "b1").close();
        HttpCalls.Response r = new EntryClient(fleet.callersAddress("a1"))
                .chat("far key", 10, false, "Idempotency-Key", keyWithHome("db"));
        assertEquals(503, r.status(), r.text());
        assertEquals("NOT_RUN", r.verdict());
        assertEquals(0, countRuns("far key"));
        RequestFailureTest.assertCompleteResponse(
                new EntryClient(fleet.callersAddress("a1"))
                        .chat("near key", 10, false, "Idempotency-Key", keyWithHome("da")),
                "near key",
                10);
    }

    private String memberOfUsableGroup() throws IOException {
        for (JsonNode g : fleet.dump("b1").path("groups")) {
            if (g.path("usable").asBoolean()) {
                return g.path("members").path(1).asText();
            }
        }
        throw new AssertionError("no usable group");
    }

    private static String keyWithHome(String home) {
        for (int i = 0; ; i++) {
            IdempotencyKey key = IdempotencyKey.parse(new WorkspaceId("kitchen"), "key-" + i);
            if (key.homeDomain(DOMAINS).value().equals(home)) {
                return "key-" + i;
            }
        }
    }

    private int countRuns(String prompt) throws IOException {
        int n = 0;
        for (FleetTarget t : fleet.targets()) {
            for (FakeTargetHistory.RunRecord r : t.account().runs()) {
                n += r.promptHash().equals(FakeCompletion.hash(EntryClient.renderPrompt(prompt))) ? 1 : 0;
            }
        }
        return n;
    }
}
