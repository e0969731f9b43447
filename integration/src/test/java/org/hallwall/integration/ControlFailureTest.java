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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.NetAddress;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that accepted changes are durable and reach all entries while voters are killed, suspended, wiped or partitioned. */
class ControlFailureTest {

    private static final String SPEC = "{\"repeatableMethods\": [\"GET\"], \"timeoutMillis\": %d}";
    private static final List<String> VOTERS = List.of("v1", "v2", "v3");
    private static final List<String> ENTRIES = List.of("e1", "e2", "e3");

    private static Fleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = new Fleet(FleetTopology.oneDomain()).start();
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    @BeforeEach
    void awaitStableControlPlane() throws Exception {
        for (String p : List.of("v1", "v2", "v3", "e1", "e2", "e3")) {
            if (!fleet.process(p).isAlive()) {
                fleet.process(p).start();
            }
        }
        Fleet.await().until(() -> leaders().size() == 1 && allAdmitted());
    }

    @AfterEach
    void heal() throws Exception {
        fleet.healAll();
        for (String v : VOTERS) {
            if (fleet.process(v).isAlive()) {
                fleet.process(v).signal("CONT");
            }
        }
    }

    @Test
    void onlyOneConcurrentUpdateOfAVersionSucceeds() throws Exception {
        long version = put("race", 1);
        List<CompletableFuture<HttpCalls.Response>> replies = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            String body = FleetApi.resourceJson("Service", "race", version, SPEC.formatted(100 + i));
            replies.add(HttpCalls.sendAsync("PUT", voterApiAddress(i % 3), "/api/v1/services/race", body, Map.of()));
        }
        Map<Integer, Integer> byStatus = new HashMap<>();
        for (CompletableFuture<HttpCalls.Response> r : replies) {
            byStatus.merge(r.join().status(), 1, Integer::sum);
        }
        assertEquals(Map.of(200, 1, 409, 11), byStatus);
    }

    @Test
    void resentChangeReturnsOriginalOutcomeAfterLeaderLoss() throws Exception {
        long version = put("resent", 1);
        String body = FleetApi.resourceJson("Service", "resent", version, SPEC.formatted(2));
        Map<String, String> id = Map.of("Hallwall-Change-Id", "change-1");
        HttpCalls.Response first = fleet.api().sendWithRetries("PUT", "/api/v1/services/resent", body, id);
        assertEquals(200, first.status(), first.text());
        put("resent", 3);
        fleet.process(leaders().get(0)).kill();
        HttpCalls.Response retried = fleet.api().sendWithRetries("PUT", "/api/v1/services/resent", body, id);
        assertEquals(200, retried.status(), retried.text());
        assertEquals(first.json().path("resourceVersion"), retried.json().path("resourceVersion"));
        assertEquals(3, timeout(fleet.api().get("services", "resent")), "the later change is kept");
    }

    @Test
    void newLeaderWithinThreeSecondsAndResumedLeaderDoesNotRevert() throws Exception {
        put("frozen", 1);
        String old = leaders().get(0);
        fleet.process(old).signal("STOP");
        Fleet.await()
                .atMost(Duration.ofSeconds(3))
                .until(() -> leadersExcept(old).size() == 1);
        put("frozen", 2);
        fleet.process(old).signal("CONT");
        Fleet.await().until(() -> leaders().size() == 1);
        assertEquals(2, timeout(fleet.api().get("services", "frozen")));
    }

    @Test
    void changeWithoutQuorumIsRejectedAsNotRunAndEntriesKeepServing() throws Exception {
        put("quorum", 1);
        awaitApplied(version("quorum"));
        fleet.process("v1").kill();
        fleet.process("v2").kill();
        String body = FleetApi.resourceJson("Service", "quorum", version("e1"), SPEC.formatted(2));
        Fleet.await().untilAsserted(() -> {
            HttpCalls.Response r = fleet.api().sendTo(2, "PUT", "/api/v1/services/quorum", body, Map.of());
            assertEquals(503, r.status(), r.text());
            assertEquals("NOT_RUN", r.verdict());
            assertTrue(r.retryAfter() != null);
        });
        for (String e : ENTRIES) {
            assertTrue(fleet.isReady(e), e + " serves the last accepted configuration");
        }
    }

    @Test
    void voterWithWipedDiskIsReadmittedWithoutDataLoss() throws Exception {
        put("wiped", 1);
        fleet.process("v2").kill();
        fleet.wipeDataFolder("v2");
        put("wiped", 2);
        fleet.process("v2").start();
        Fleet.await().until(() -> allAdmitted() && !"RECOVERING".equals(role("v2")));
        fleet.process("v1").kill();
        assertEquals(2, timeout(fleet.api().get("services", "wiped")));
        put("wiped", 3);
    }

    @Test
    void allVotersRestartAtOnce() throws Exception {
        put("restart", 7);
        for (String v : VOTERS) {
            fleet.process(v).kill();
        }
        for (String v : VOTERS) {
            fleet.process(v).start();
        }
        assertEquals(7, timeout(fleet.api().get("services", "restart")));
    }

    @Test
    void changesAreAppliedEverywhereWithinTwoSecondsAndNeverRevert() throws Exception {
        put("force", 1);
        fleet.process("e3").kill();
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            long before = System.nanoTime();
            awaitApplied(put("force", 10 + i), "e1", "e2");
            millis.add((System.nanoTime() - before) / 1_000_000);
        }
        millis.sort(null);
        assertTrue(millis.get(39) < 2_000, "applied after " + millis);
        for (int i = 0; i < 260; i++) {
            put("force", 100 + i);
        }
        fleet.process("e3").start();
        awaitApplied(version("force"), "e3");
    }

    @Test
    void entryStartedInPartitionReportsPossiblyStaleConfiguration() throws Exception {
        put("old", 1);
        awaitApplied(version("old"));
        fleet.process("e2").kill();
        for (String v : VOTERS) {
            fleet.proxy("e2", v).cut();
        }
        fleet.process("e2").start();
        Fleet.await().until(() -> fleet.dump("e2").path("declarationVersion").asLong() > 0);
        assertTrue(fleet.dump("e2").path("declarationsMayBeOld").asBoolean());
        // It obtains the configuration from the other entries of its domain.
        Fleet.await().until(() -> fleet.isReady("e2"));
        fleet.healAll();
        Fleet.await().until(() -> !fleet.dump("e2").path("declarationsMayBeOld").asBoolean());
    }

    private static long put(String name, int timeout) throws IOException {
        return fleet.api()
                .put("Service", "services", name, SPEC.formatted(timeout))
                .path("resourceVersion")
                .asLong();
    }

    private static long version(String name) throws IOException {
        return fleet.api().get("services", name).path("resourceVersion").asLong();
    }

    private static int timeout(JsonNode service) {
        return service.path("spec").path("timeoutMillis").asInt();
    }

    private static void awaitApplied(long version, String... entries) {
        for (String e : entries.length == 0 ? ENTRIES.toArray(new String[0]) : entries) {
            Fleet.await()
                    .pollInterval(Duration.ofMillis(10))
                    .until(() -> fleet.dump(e).path("declarationVersion").asLong() >= version);
        }
    }

    private static NetAddress voterApiAddress(int i) {
        return fleet.apiAddress(VOTERS.get(i));
    }

    private static String role(String voter) throws IOException {
        return fleet.dump(voter).at("/status/log/role").asText();
    }

    private static boolean allAdmitted() throws IOException {
        for (String v : VOTERS) {
            if (fleet.dump(v).at("/status/log/admitted").size() < 3 || "RECOVERING".equals(role(v))) {
                return false;
            }
        }
        return true;
    }

    private static List<String> leaders() throws IOException {
        return leadersExcept("none");
    }

    private static List<String> leadersExcept(String frozen) throws IOException {
        List<String> out = new ArrayList<>();
        for (String v : VOTERS) {
            if (!v.equals(frozen) && fleet.process(v).isAlive() && "LEADER".equals(role(v))) {
                out.add(v);
            }
        }
        return out;
    }
}
