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
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.approvaltests.Approvals;
import org.awaitility.Awaitility;
import org.hallwall.core.settings.NetAddress;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that an entry rejects malformed requests and bytes, keeps serving and exposes no credentials. */
class BadInputTest {

    private static final String CHAT = "/v1/chat/completions";
    private static final String VALID_BODY =
            "{\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}";

    private static Fleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = new Fleet(FleetTopology.oneDomain()).start();
        fleet.declareResources("{\"model\": \"x\", \"version\": \"1\", \"targetsPerReplica\": 2, \"replicas\": 2}");
        Fleet.await().until(() -> fleet.isReady("e1"));
        Fleet.await()
                .until(() -> new EntryClient(fleet.callersAddress("e1"))
                                .send("GET", "/v1/models", null)
                                .status()
                        == 200);
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    @Test
    void refusals() throws IOException {
        EntryClient caller = new EntryClient(fleet.callersAddress("e1"));
        StringBuilder out = new StringBuilder();
        describeResponse(out, "no key", HttpCalls.send("POST", fleet.callersAddress("e1"), CHAT, VALID_BODY, Map.of()));
        describeResponse(out, "wrong key", caller.send("POST", CHAT, VALID_BODY, "Authorization", "Bearer wrong"));
        describeResponse(out, "no JSON", caller.send("POST", CHAT, "{not json"));
        describeResponse(out, "no messages", caller.send("POST", CHAT, "{\"model\": \"m\"}"));
        describeResponse(
                out,
                "bad max_tokens",
                caller.send("POST", CHAT, VALID_BODY.replace("\"m\",", "\"m\", \"max_tokens\": 0,")));
        describeResponse(out, "unknown model", caller.send("POST", CHAT, VALID_BODY.replace("\"m\"", "\"other\"")));
        describeResponse(out, "bad priority", caller.send("POST", CHAT, VALID_BODY, "Hallwall-Priority", "urgent"));
        describeResponse(
                out, "deadline in the past", caller.send("POST", CHAT, VALID_BODY, "Hallwall-Deadline-Ms", "-5"));
        describeResponse(out, "body too large", caller.send("POST", CHAT, "x".repeat(5 * 1024 * 1024)));
        describeResponse(out, "no complete group", caller.send("POST", CHAT, VALID_BODY));
        describeResponse(out, "unknown service", caller.send("POST", "/services/none/x", "{}"));
        describeResponse(out, "service without targets", caller.send("POST", "/services/booking/x", "{}"));
        describeResponse(out, "unknown path", caller.send("GET", "/nothing", null));
        Approvals.verify(out.toString());
    }

    @Test
    void credentialsAreNotExposed() throws IOException {
        EntryClient caller = new EntryClient(fleet.callersAddress("e1"));
        HttpCalls.Response wrong = caller.send("POST", CHAT, VALID_BODY, "Authorization", "Bearer not-the-key-at-all");
        assertFalse(wrong.text().contains("not-the-key-at-all"));
        caller.send("POST", CHAT, VALID_BODY);
        for (String process : new String[] {"e1", "v1", "v2", "v3"}) {
            String shown = fleet.process(process).readLog() + fleet.dump(process);
            assertFalse(shown.contains(Fleet.KEY), process);
            assertFalse(shown.contains("not-the-key-at-all"), process);
        }
    }

    @Test
    void dumpHasTheseMembers() throws IOException {
        StringBuilder out = new StringBuilder();
        for (String process : new String[] {"e1", "v1"}) {
            out.append(process.startsWith("e") ? "entry" : "control").append('\n');
            describeMembers(fleet.dump(process), "  ", out);
        }
        Approvals.verify(out.toString());
    }

    @Test
    void entrySurvivesMalformedBytes() throws IOException {
        NetAddress callers = fleet.callersAddress("e1");
        sendRaw(callers, "GARBAGE\r\n\r\n");
        sendRaw(callers, "GET / HTTP/1.1\r\nX: " + "y".repeat(100_000) + "\r\n\r\n");
        sendRaw(fleet.peerAddress("e1"), "\u007f\u007f\u007f\u007fnot a frame");
        sendRaw(fleet.peerAddress("e1"), "\0\0\0\u0003abc");
        assertEquals(
                200, new EntryClient(callers).send("GET", "/v1/models", null).status());
        assertTrue(fleet.dump("e1").at("/received/refused").asLong() >= 1, "malformed frames are counted");
        // The entry decrements its counter only after the client has received the response.
        Awaitility.await().until(() -> fleet.dump("e1").path("inFlight").asInt() == 0);
    }

    private static void describeResponse(StringBuilder out, String name, HttpCalls.Response r) throws IOException {
        JsonNode p = r.json();
        out.append(name)
                .append(": ")
                .append(r.status())
                .append(' ')
                .append(p.path("type").asText());
        out.append(' ').append(p.path("verdict").asText());
        out.append(r.retryAfter() == null ? "" : ", come back");
        out.append("\n  ").append(p.path("detail").asText()).append('\n');
        assertEquals("application/problem+json", r.contentType(), name);
    }

    private static void describeMembers(JsonNode node, String indent, StringBuilder out) {
        TreeSet<String> names = new TreeSet<>();
        for (Iterator<String> it = node.fieldNames(); it.hasNext(); ) {
            names.add(it.next());
        }
        for (String n : names) {
            out.append(indent).append(n).append('\n');
            boolean fixed = !n.equals("sent") && !n.equals("admitted") && !n.equals("ordered");
            if (node.path(n).isObject() && fixed) {
                describeMembers(node.path(n), indent + "  ", out);
            }
        }
    }

    /** Sends bytes and waits for a response or for the end of the connection. */
    private static void sendRaw(NetAddress address, String text) throws IOException {
        try (Socket s = new Socket(address.host(), address.port())) {
            s.setSoTimeout(5_000);
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().flush();
            s.getInputStream().read();
        } catch (SocketException e) {
            // The peer may reset the connection.
        }
    }
}
