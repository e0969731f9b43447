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
package org.hallwall.serving.group;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;

/** Counts the eligible engines, the groups and the joinable engines by model of each fabric domain. */
final class DomainInventory {

    private final EngineSpec spec;
    private final Map<InstanceId, Engine> engines;
    private final Map<InstanceId, PlannedGroup> groupOf = new HashMap<>();
    private final Map<String, DomainCapacity> byDomain = new TreeMap<>();

    DomainInventory(EngineSpec spec, Collection<PlannedGroup> groups, Map<InstanceId, Engine> engines) {
        this.spec = spec;
        this.engines = engines;
        for (PlannedGroup g : groups) {
            g.members().forEach(id -> groupOf.put(id, g));
        }
        engines.values().forEach(this::addEngine);
        for (PlannedGroup g : groups) {
            DomainCapacity d = byDomain.get(g.fabricDomain());
            if (d != null && isIntact(g)) {
                d.groups().merge(g.model(), 1, Integer::sum);
            }
        }
    }

    /** Returns the domains, sorted by name. */
    List<DomainCapacity> domains() {
        return new ArrayList<>(byDomain.values());
    }

    private void addEngine(Engine e) {
        String domain = e.record().fabricDomain();
        if (domain == null || !isEligible(e)) {
            return;
        }
        DomainCapacity counted = byDomain.computeIfAbsent(
                domain, d -> new DomainCapacity(d, e.record().failureDomain(), 0, new HashMap<>(), new HashMap<>()));
        for (EngineModel m : spec.models()) {
            if (e.canJoin(m.name())) {
                counted.joinable().merge(m.name(), 1, Integer::sum);
            }
        }
        byDomain.put(domain, counted.plusEngine());
    }

    /** A silent engine may still serve in its group. Members of a cross-domain group are not counted for any domain. */
    private boolean isEligible(Engine e) {
        PlannedGroup g = groupOf.get(e.id());
        if (g == null) {
            return e.isUsable();
        }
        return !g.fabricDomain().equals(GroupFormation.CROSS_DOMAIN) && (e.isUsable() || isIntact(g));
    }

    private boolean isIntact(PlannedGroup g) {
        if (g.isEnding()) {
            return false;
        }
        for (InstanceId id : g.members()) {
            Engine e = engines.get(id);
            if (e == null || e.lost() || !e.record().isServing()) {
                return false;
            }
        }
        return true;
    }
}
