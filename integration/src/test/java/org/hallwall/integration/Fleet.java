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

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;
import org.hallwall.core.settings.KeyHash;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.fakes.proxy.FaultProxy;

/** A fleet of real processes on loopback; every link between two of them goes through a proxy of its own. */
final class Fleet implements Closeable {

    static final String KEY = "test-key";
    private static final Duration START = Duration.ofSeconds(20);

    private final FleetPlan plan;
    private final Path folder;
    private final Map<String, FleetProcess> processes = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();

    Fleet(FleetPlan plan) throws IOException {
        this.plan = plan;
        this.folder = Files.createTempDirectory("hallwall-fleet");
        writeVoters();
        writeEntries();
        writeTargets();
    }

    /** Forms the data folders, starts all processes and waits until the voters have a leader. */
    Fleet start() throws IOException, InterruptedException {
        for (String v : plan.voters) {
            form(v);
        }
        for (FleetProcess p : processes.values()) {
            p.start();
        }
        awaitLeader();
        return this;
    }

    void form(String voter) throws IOException, InterruptedException {
        new ProcessBuilder(
                        FleetProcess.launcher("hallwall-control"),
                        "--settings",
                        folder.resolve(voter + ".json").toString(),
                        "--form")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(voter + ".form.log").toFile())
                .start()
                .waitFor();
    }

    void awaitLeader() {
        await().until(() -> plan.voters.stream().anyMatch(v -> processes.get(v).isAlive() && isReady(v)));
    }

    void wipe(String voter) throws IOException {
        Path data = folder.resolve(voter + ".data");
        try (var files = Files.list(data)) {
            for (Path f : files.toList()) {
                Files.delete(f);
            }
        }
    }

    /** Declares a model group and a workspace that may use it and the service {@code booking}. */
    void declare(String spec) throws IOException {
        api().put("ModelGroup", "modelgroups", "menu", spec);
        api().put("Service", "services", "booking", "{}");
        api().put(
                        "Workspace",
                        "workspaces",
                        "kitchen",
                        "{\"keySha256\": [\"" + KeyHash.of(KEY) + "\"], \"services\": [\"booking\"],"
                                + " \"models\": [{\"name\": \"m\", \"modelGroup\": \"menu\"}]}");
    }

    /** Waits until each entry of a domain knows so many usable groups. */
    void awaitGroups(String domain, int groups) {
        for (String e : plan.entries.get(domain)) {
            await().untilAsserted(() -> {
                if (usableGroups(e) != groups
                        || dump(e).path("declarationVersion").asLong() == 0) {
                    throw new AssertionError(e + " knows " + usableGroups(e) + " usable groups");
                }
            });
        }
    }

    /** Waits until the entries of a domain keep claims and are sure of them. */
    void awaitClaims(String domain) {
        for (String e : plan.entries.get(domain)) {
            await().until(() -> dump(e).path("claimsSure").asBoolean());
        }
    }

    int usableGroups(String entry) throws IOException {
        int n = 0;
        for (var g : dump(entry).path("groups")) {
            n += g.path("usable").asBoolean() ? 1 : 0;
        }
        return n;
    }

    JsonNode dump(String process) throws IOException {
        return Http.json("GET", admin(process), "/debug/dump", null, Map.of()).body();
    }

    boolean isReady(String process) {
        try {
            return Http.send("GET", admin(process), "/readyz", null, Map.of()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    FleetApi api() {
        List<NetAddress> addresses = new ArrayList<>();
        for (String v : plan.voters) {
            addresses.add(address(v + ".api"));
        }
        return new FleetApi(addresses);
    }

    FleetProcess process(String name) {
        return processes.get(name);
    }

    FaultProxy proxy(String from, String to) {
        return proxies.get(from + ">" + to);
    }

    /** Cuts every link of a process in both directions. */
    void cutOff(String process) {
        proxies.forEach((name, p) -> {
            if (name.startsWith(process + ">") || name.endsWith(">" + process)) {
                p.cut();
            }
        });
    }

    void healAll() {
        proxies.values().forEach(FaultProxy::heal);
    }

    NetAddress apiAddress(String voter) {
        return address(voter + ".api");
    }

    NetAddress peer(String process) {
        return address(process + ".peer");
    }

    NetAddress callers(String entry) {
        return address(entry + ".callers");
    }

    NetAddress admin(String process) {
        return address(process + ".admin");
    }

    /** The target itself, not through its proxy. */
    FleetTarget target(String name) {
        return new FleetTarget(address(name + ".target"));
    }

    List<FleetTarget> targets() {
        return plan.targets.stream().map(t -> target(t.name())).toList();
    }

    FaultProxy targetProxy(String name) {
        return proxies.get("*>" + name);
    }

    static ConditionFactory await() {
        return Awaitility.await()
                .atMost(START)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions();
    }

    @Override
    public void close() throws IOException {
        for (FleetProcess p : processes.values()) {
            if (p.isAlive()) {
                try {
                    p.signal("CONT");
                    p.kill();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        for (FaultProxy p : proxies.values()) {
            p.close();
        }
    }

    // --- settings

    private NetAddress address(String what) {
        return new NetAddress("127.0.0.1", ports.computeIfAbsent(what, w -> FleetPorts.next()));
    }

    private String proxied(String from, String to) throws IOException {
        FaultProxy p = new FaultProxy(address(to + ".peer"));
        proxies.put(from + ">" + to, p);
        return p.address().toString();
    }

    private void add(String name, String program, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        processes.put(name, new FleetProcess(program, file));
    }

    private String votersFor(String from) throws IOException {
        List<String> out = new ArrayList<>();
        for (String v : plan.voters) {
            String peer = v.equals(from) ? address(v + ".peer").toString() : proxied(from, v);
            out.add("{\"instance\": \"" + v + "\", \"peer\": \"" + peer + "\"}");
        }
        return String.join(", ", out);
    }

    private void writeVoters() throws IOException {
        for (String v : plan.voters) {
            add(v, "hallwall-control", """
                    {"fleet": "test", "instance": "%s", "failureDomain": "da", "dataFolder": "%s",
                     "voters": [%s], "api": "%s", "admin": "%s", "darkAfterMillis": %d}
                    """.formatted(
                            v,
                            folder.resolve(v + ".data"),
                            votersFor(v),
                            address(v + ".api"),
                            address(v + ".admin"),
                            plan.darkAfterMillis));
        }
    }

    private void writeEntries() throws IOException {
        for (Map.Entry<String, List<String>> d : plan.entries.entrySet()) {
            for (String e : d.getValue()) {
                writeEntry(d.getKey(), e);
            }
        }
    }

    private void writeEntry(String domain, String e) throws IOException {
        List<String> siblings = new ArrayList<>();
        for (String o : plan.entries.get(domain)) {
            String peer = o.equals(e) ? address(o + ".peer").toString() : proxied(e, o);
            siblings.add(
                    "{\"instance\": \"" + o + "\", \"peer\": \"" + peer + "\", \"callers\": \"" + callers(o) + "\"}");
        }
        List<String> others = new ArrayList<>();
        for (Map.Entry<String, List<String>> d : plan.entries.entrySet()) {
            if (!d.getKey().equals(domain)) {
                others.add("{\"failureDomain\": \"" + d.getKey() + "\", \"entries\": [" + otherEntries(e, d.getValue())
                        + "]}");
            }
        }
        add(e, "hallwall-entry", """
                {"fleet": "test", "instance": "%s", "failureDomain": "%s", "callers": "%s", "targets": "%s",
                 "peer": "%s", "admin": "%s", "domainEntries": [%s], "voters": [%s], "otherDomains": [%s],
                 "logLevel": "DEBUG"}
                """.formatted(
                        e,
                        domain,
                        callers(e),
                        address(e + ".targets"),
                        address(e + ".peer"),
                        admin(e),
                        String.join(", ", siblings),
                        votersFor(e),
                        String.join(", ", others)));
    }

    private String otherEntries(String from, List<String> entries) throws IOException {
        List<String> out = new ArrayList<>();
        for (String o : entries) {
            FaultProxy callers = new FaultProxy(callers(o));
            FaultProxy targets = new FaultProxy(address(o + ".targets"));
            proxies.put(from + ".callers>" + o, callers);
            proxies.put(from + ".runs>" + o, targets);
            out.add("{\"callers\": \"" + callers.address() + "\", \"targets\": \"" + targets.address() + "\"}");
        }
        return String.join(", ", out);
    }

    /** Each target is a process of its own and announces an address behind a proxy. */
    private void writeTargets() throws IOException {
        for (FleetPlan.Target t : plan.targets) {
            FaultProxy proxy = new FaultProxy(address(t.name() + ".target"));
            proxies.put("*>" + t.name(), proxy);
            List<String> entries = new ArrayList<>();
            for (String e : plan.entries.get(t.domain())) {
                entries.add("\"" + address(e + ".targets") + "\"");
            }
            String fabric = t.fabric() == null ? "" : "\"fabricDomain\": \"" + t.fabric() + "\", ";
            String extra = t.extra() == null || t.extra().isEmpty() ? "" : ", " + t.extra();
            add(t.name(), "hallwall-fake-engine", """
                    {"entries": [%s], "admin": "%s", "announceMillis": 300, "targets": [
                     {"instance": "%s", "failureDomain": "%s", %s"listen": "%s", "advertise": "%s"%s}]}
                    """.formatted(
                            String.join(", ", entries),
                            admin(t.name()),
                            t.name(),
                            t.domain(),
                            fabric,
                            address(t.name() + ".target"),
                            proxy.address(),
                            extra));
        }
    }
}
