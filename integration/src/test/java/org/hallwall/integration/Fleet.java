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

/** A fleet of processes on loopback addresses in which each link has its own fault proxy. */
final class Fleet implements Closeable {

    static final String KEY = "test-key";
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(20);

    private final FleetTopology topology;
    private final Path folder;
    private final Map<String, FleetProcess> processes = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();

    Fleet(FleetTopology plan) throws IOException {
        this.topology = plan;
        this.folder = Files.createTempDirectory("hallwall-fleet");
        writeVoters();
        writeEntries();
        writeTargets();
    }

    /** Initialises the data folders, starts all processes and waits until a voter is ready. */
    Fleet start() throws IOException, InterruptedException {
        for (String v : topology.voters) {
            formDataFolder(v);
        }
        for (FleetProcess p : processes.values()) {
            p.start();
        }
        awaitLeader();
        return this;
    }

    void formDataFolder(String voter) throws IOException, InterruptedException {
        new ProcessBuilder(
                        FleetProcess.launcherPath("hallwall-control"),
                        "--settings",
                        folder.resolve(voter + ".json").toString(),
                        "--form")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(voter + ".form.log").toFile())
                .start()
                .waitFor();
    }

    void awaitLeader() {
        await().until(() ->
                topology.voters.stream().anyMatch(v -> processes.get(v).isAlive() && isReady(v)));
    }

    void wipeDataFolder(String voter) throws IOException {
        Path data = folder.resolve(voter + ".data");
        try (var files = Files.list(data)) {
            for (Path f : files.toList()) {
                Files.delete(f);
            }
        }
    }

    /** Declares a model group, the service {@code booking} and a workspace with access to both. */
    void declareResources(String spec) throws IOException {
        api().put("ModelGroup", "modelgroups", "menu", spec);
        api().put("Service", "services", "booking", "{}");
        api().put(
                        "Workspace",
                        "workspaces",
                        "kitchen",
                        "{\"keySha256\": [\"" + KeyHash.of(KEY) + "\"], \"services\": [\"booking\"],"
                                + " \"models\": [{\"name\": \"m\", \"modelGroup\": \"menu\"}]}");
    }

    /** Waits until each entry of a failure domain has the configuration and reports the given number of usable groups. */
    void awaitGroups(String domain, int groups) {
        for (String e : topology.entries.get(domain)) {
            await().untilAsserted(() -> {
                if (usableGroups(e) != groups
                        || dump(e).path("declarationVersion").asLong() == 0) {
                    throw new AssertionError(e + " reports " + usableGroups(e) + " usable groups");
                }
            });
        }
    }

    /** Waits until each entry of a failure domain reports its claims as complete. */
    void awaitClaims(String domain) {
        for (String e : topology.entries.get(domain)) {
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
        return HttpCalls.sendForJson("GET", adminAddress(process), "/debug/dump", null, Map.of())
                .body();
    }

    boolean isReady(String process) {
        try {
            return HttpCalls.send("GET", adminAddress(process), "/readyz", null, Map.of())
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    FleetApi api() {
        List<NetAddress> addresses = new ArrayList<>();
        for (String v : topology.voters) {
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

    /** Cuts all links of a process in both directions. */
    void isolate(String process) {
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

    NetAddress peerAddress(String process) {
        return address(process + ".peer");
    }

    NetAddress callersAddress(String entry) {
        return address(entry + ".callers");
    }

    NetAddress adminAddress(String process) {
        return address(process + ".admin");
    }

    /** Returns direct access to a target, bypassing its proxy. */
    FleetTarget target(String name) {
        return new FleetTarget(address(name + ".target"));
    }

    List<FleetTarget> targets() {
        return topology.targets.stream().map(t -> target(t.name())).toList();
    }

    FaultProxy targetProxy(String name) {
        return proxies.get("*>" + name);
    }

    static ConditionFactory await() {
        return Awaitility.await()
                .atMost(DEFAULT_TIMEOUT)
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

    private NetAddress address(String name) {
        return new NetAddress("127.0.0.1", ports.computeIfAbsent(name, n -> FleetPorts.next()));
    }

    private String proxyTo(String from, String to) throws IOException {
        FaultProxy p = new FaultProxy(address(to + ".peer"));
        proxies.put(from + ">" + to, p);
        return p.address().toString();
    }

    private void addProcess(String name, String program, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        processes.put(name, new FleetProcess(program, file));
    }

    private String votersJson(String from) throws IOException {
        List<String> out = new ArrayList<>();
        for (String v : topology.voters) {
            String peer = v.equals(from) ? address(v + ".peer").toString() : proxyTo(from, v);
            out.add("{\"instance\": \"" + v + "\", \"peer\": \"" + peer + "\"}");
        }
        return String.join(", ", out);
    }

    private void writeVoters() throws IOException {
        for (String v : topology.voters) {
            addProcess(v, "hallwall-control", """
                    {"fleet": "test", "instance": "%s", "failureDomain": "da", "dataFolder": "%s",
                     "voters": [%s], "api": "%s", "admin": "%s", "darkAfterMillis": %d}
                    """.formatted(
                            v,
                            folder.resolve(v + ".data"),
                            votersJson(v),
                            address(v + ".api"),
                            address(v + ".admin"),
                            topology.unreachableAfterMillis));
        }
    }

    private void writeEntries() throws IOException {
        for (Map.Entry<String, List<String>> d : topology.entries.entrySet()) {
            for (String e : d.getValue()) {
                writeEntry(d.getKey(), e);
            }
        }
    }

    private void writeEntry(String domain, String e) throws IOException {
        List<String> siblings = new ArrayList<>();
        for (String o : topology.entries.get(domain)) {
            String peer = o.equals(e) ? address(o + ".peer").toString() : proxyTo(e, o);
            siblings.add("{\"instance\": \"" + o + "\", \"peer\": \"" + peer + "\", \"callers\": \"" + callersAddress(o)
                    + "\"}");
        }
        List<String> others = new ArrayList<>();
        for (Map.Entry<String, List<String>> d : topology.entries.entrySet()) {
            if (!d.getKey().equals(domain)) {
                others.add("{\"failureDomain\": \"" + d.getKey() + "\", \"entries\": ["
                        + otherEntriesJson(e, d.getValue()) + "]}");
            }
        }
        addProcess(e, "hallwall-entry", """
                {"fleet": "test", "instance": "%s", "failureDomain": "%s", "callers": "%s", "targets": "%s",
                 "peer": "%s", "admin": "%s", "domainEntries": [%s], "voters": [%s], "otherDomains": [%s],
                 "logLevel": "DEBUG"}
                """.formatted(
                        e,
                        domain,
                        callersAddress(e),
                        address(e + ".targets"),
                        address(e + ".peer"),
                        adminAddress(e),
                        String.join(", ", siblings),
                        votersJson(e),
                        String.join(", ", others)));
    }

    private String otherEntriesJson(String from, List<String> entries) throws IOException {
        List<String> out = new ArrayList<>();
        for (String o : entries) {
            FaultProxy callers = new FaultProxy(callersAddress(o));
            FaultProxy targets = new FaultProxy(address(o + ".targets"));
            proxies.put(from + ".callers>" + o, callers);
            proxies.put(from + ".runs>" + o, targets);
            out.add("{\"callers\": \"" + callers.address() + "\", \"targets\": \"" + targets.address() + "\"}");
        }
        return String.join(", ", out);
    }

    /** Configures one process per target, which advertises the address of its proxy. */
    private void writeTargets() throws IOException {
        for (FleetTopology.Target t : topology.targets) {
            FaultProxy proxy = new FaultProxy(address(t.name() + ".target"));
            proxies.put("*>" + t.name(), proxy);
            List<String> entries = new ArrayList<>();
            for (String e : topology.entries.get(t.domain())) {
                entries.add("\"" + address(e + ".targets") + "\"");
            }
            String fabric = t.fabric() == null ? "" : "\"fabricDomain\": \"" + t.fabric() + "\", ";
            String extra = t.extra() == null || t.extra().isEmpty() ? "" : ", " + t.extra();
            addProcess(t.name(), "hallwall-fake-engine", """
                    {"entries": [%s], "admin": "%s", "announceMillis": 300, "targets": [
                     {"instance": "%s", "failureDomain": "%s", %s"listen": "%s", "advertise": "%s"%s}]}
                    """.formatted(
                            String.join(", ", entries),
                            adminAddress(t.name()),
                            t.name(),
                            t.domain(),
                            fabric,
                            address(t.name() + ".target"),
                            proxy.address(),
                            extra));
        }
    }
}
