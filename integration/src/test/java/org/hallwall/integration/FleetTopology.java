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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The voters, entries and targets of a fleet. */
final class FleetTopology {

    final List<String> voters = new ArrayList<>();
    final Map<String, List<String>> entries = new TreeMap<>();
    final List<Target> targets = new ArrayList<>();
    long unreachableAfterMillis = 60_000;

    /** Three voters, one failure domain with three entries. */
    static FleetTopology oneDomain() {
        FleetTopology topology = new FleetTopology();
        topology.voters.addAll(List.of("v1", "v2", "v3"));
        topology.entries.put("da", List.of("e1", "e2", "e3"));
        return topology;
    }

    /** Three voters, two failure domains with one entry each. */
    static FleetTopology twoDomains() {
        FleetTopology topology = new FleetTopology();
        topology.voters.addAll(List.of("v1", "v2", "v3"));
        topology.entries.put("da", List.of("a1"));
        topology.entries.put("db", List.of("b1"));
        return topology;
    }

    FleetTopology addEngines(String domain, String fabric, int count, String extra) {
        for (int i = 1; i <= count; i++) {
            targets.add(new Target(fabric + "-" + i, domain, fabric, extra));
        }
        return this;
    }

    FleetTopology addService(String domain, String service, String name) {
        targets.add(new Target(name, domain, null, "\"service\": \"" + service + "\""));
        return this;
    }

    /** A target; {@code extra} is JSON that is appended to its settings. */
    record Target(String name, String domain, String fabric, String extra) {}
}
