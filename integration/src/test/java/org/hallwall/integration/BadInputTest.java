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

/** What an entry answers to bad requests and bad bytes, as approved; it is unharmed afterwards. */
class BadInputTest {

    private static final String CHAT = "/v1/chat/completions";
    private static final String GOOD = "{\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}";

    private static Fleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = new Fleet(FleetPlan.oneDomain()).start();
        fleet.declare("{\"model\": \"x\", \"version\": \"1\", \"targetsPerReplica\": 2, \"replicas\": 2}");
        Fleet.await().until(() -> fleet.isReady("e1"));
        Fleet.await()
                .until(() -> new Caller(fleet.callers("e1"))
                                .call("GET", "/v1/models", null)
                                .status()
                        == 200);
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    @Test
    void refusals() throws IOException {
        Caller caller = new Caller(fleet.callers("e1"));
        StringBuilder out = new StringBuilder();
        add(out, "no key", Http.send("POST", fleet.callers("e1"), CHAT, GOOD, Map.of()));
        add(out, "wrong key", caller.call("POST", CHAT, GOOD, "Authorization", "Bearer wrong"));
        add(out, "no JSON", caller.call("POST", CHAT, "{not json"));
        add(out, "no messages", caller.call("POST", CHAT, "{\"model\": \"m\"}"));
        add(out, "bad max_tokens", caller.call("POST", CHAT, GOOD.replace("\"m\",", "\"m\", \"max_tokens\": 0,")));
        add(out, "unknown model", caller.call("POST", CHAT, GOOD.replace("\"m\"", "\"other\"")));
        add(out, "bad priority", caller.call("POST", CHAT, GOOD, "Hallwall-Priority", "urgent"));
        add(out, "deadline in the past", caller.call("POST", CHAT, GOOD, "Hallwall-Deadline-Ms", "-5"));
        add(out, "body too large", caller.call("POST", CHAT, "x".repeat(5 * 1024 * 1024)));
        add(out, "no complete group", caller.call("POST", CHAT, GOOD));
        add(out, "unknown service", caller.call("POST", "/services/none/x", "{}"));
        add(out, "service without targets", caller.call("POST", "/services/booking/x", "{}"));
        add(out, "unknown path", caller.call("GET", "/nothing", null));
        Approvals.verify(out.toString());
    }

    @Test
    void noCredentialShows() throws IOException {
        Caller caller = new Caller(fleet.callers("e1"));
        Http.Reply wrong = caller.call("POST", CHAT, GOOD, "Authorization", "Bearer not-the-key-at-all");
        assertFalse(wrong.text().contains("not-the-key-at-all"));
        caller.call("POST", CHAT, GOOD);
        for (String process : new String[] {"e1", "v1", "v2", "v3"}) {
            String shown = fleet.process(process).log() + fleet.dump(process);
            assertFalse(shown.contains(Fleet.KEY), process);
            assertFalse(shown.contains("not-the-key-at-all"), process);
        }
    }

    @Test
    void dumpHasTheseMembers() throws IOException {
        StringBuilder out = new StringBuilder();
        for (String process : new String[] {"e1", "v1"}) {
            out.append(process.startsWith("e") ? "entry" : "control").append('\n');
            members(fleet.dump(process), "  ", out);
        }
        Approvals.verify(out.toString());
    }

    @Test
    void badBytesDoNoHarm() throws IOException {
        NetAddress callers = fleet.callers("e1");
        sendRaw(callers, "GARBAGE\r\n\r\n");
        sendRaw(callers, "GET / HTTP/1.1\r\nX: " + "y".repeat(100_000) + "\r\n\r\n");
        sendRaw(fleet.peer("e1"), "\u007f\u007f\u007f\u007fnot a frame");
        sendRaw(fleet.peer("e1"), "\0\0\0\u0003abc");
        assertEquals(200, new Caller(callers).call("GET", "/v1/models", null).status());
        assertTrue(fleet.dump("e1").at("/received/refused").asLong() >= 1, "bad frames are counted");
        // the last answer reaches the caller before the entry has counted its end
        Awaitility.await().until(() -> fleet.dump("e1").path("inFlight").asInt() == 0);
    }

    private static void add(StringBuilder out, String name, Http.Reply r) throws IOException {
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

    private static void members(JsonNode node, String indent, StringBuilder out) {
        TreeSet<String> names = new TreeSet<>();
        for (Iterator<String> it = node.fieldNames(); it.hasNext(); ) {
            names.add(it.next());
        }
        for (String n : names) {
            out.append(indent).append(n).append('\n');
            boolean fixed = !n.equals("sent") && !n.equals("admitted") && !n.equals("ordered");
            if (node.path(n).isObject() && fixed) {
                members(node.path(n), indent + "  ", out);
            }
        }
    }

    /** Sends bytes and waits until the other side has closed the connection or answered. */
    private static void sendRaw(NetAddress address, String text) throws IOException {
        try (Socket s = new Socket(address.host(), address.port())) {
            s.setSoTimeout(5_000);
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().flush();
            s.getInputStream().read();
        } catch (SocketException e) {
            // A reset is an answer as well.
        }
    }
}
