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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.hallwall.fakes.FakeCompletion;
import org.hallwall.fakes.FakeTargetHistory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hallwall.integration.RequestFailureTest.assertCompleteResponse;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against runs that end with a target that leaves, and against new runs on it. */
class LeavingTargetTest {

    private static final int STREAMS = 6;

    private Fleet fleet;
    private EntryClient caller;

    @BeforeEach
    void start() throws Exception {
        FleetTopology plan = FleetTopology.oneDomain()
                .addEngines("da", "fa", 2, "\"tokensPerSecond\": 100, \"weightMillis\": 100")
                .addEngines("da", "fb", 2, "\"tokensPerSecond\": 100, \"weightMillis\": 100");
        fleet = new Fleet(plan).start();
        fleet.declareResources("{\"model\": \"x\", \"version\": \"1\", \"targetsPerReplica\": 2, \"replicas\": 2}");
        fleet.awaitGroups("da", 2);
        fleet.awaitClaims("da");
        caller = new EntryClient(fleet.callersAddress("e1"));
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void leavingTargetGetsNoNewRunsAndCompletesRunningOnes() throws Exception {
        List<CompletableFuture<HttpCalls.Response>> running = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            running.add(caller.chatAsync("leaving " + i, 150, true));
        }
        Fleet.await().until(() -> countRuns("leaving ") == STREAMS);
        fleet.target("fa-1").setFaults("{\"leaving\": true}");
        Fleet.await().atMost(Duration.ofSeconds(2)).until(() -> fleet.usableGroups("e1") == 1);
        int before = fleet.target("fa-1").account().runs().size();
        for (int i = 0; i < 10; i++) {
            assertCompleteResponse(caller.chat("after leaving " + i, 3, false), "after leaving " + i, 3);
        }
        assertEquals(before, fleet.target("fa-1").account().runs().size(), "a leaving target gets no new runs");
        for (int i = 0; i < STREAMS; i++) {
            assertCompleteResponse(running.get(i).join(), "leaving " + i, 150);
        }
    }

    private int countRuns(String prefix) throws IOException {
        Set<String> prompts = new HashSet<>();
        for (int i = 0; i < STREAMS; i++) {
            prompts.add(FakeCompletion.hash(EntryClient.renderPrompt(prefix + i)));
        }
        int n = 0;
        for (FleetTarget t : fleet.targets()) {
            for (FakeTargetHistory.RunRecord r : t.account().runs()) {
                n += prompts.contains(r.promptHash()) ? 1 : 0;
            }
        }
        return n;
    }
}
