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
package org.hallwall.domain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.FabricDomainId;
import org.hallwall.resource.ModelGroupSpec;

/** The targets that are in no group, by fabric domain. */
final class IdleTargets {

    private final Map<FabricDomainId, List<KnownTarget>> byFabric = new TreeMap<>();

    void add(KnownTarget t) {
        FabricDomainId fabric = t.announcement().fabricDomain();
        if (fabric != null) {
            byFabric.computeIfAbsent(fabric, f -> new ArrayList<>()).add(t);
        }
    }

    void remove(List<KnownTarget> used) {
        for (List<KnownTarget> targets : byFabric.values()) {
            targets.removeAll(used);
        }
    }

    List<KnownTarget> allOf(FabricDomainId fabric) {
        return new ArrayList<>(byFabric.getOrDefault(fabric, List.of()));
    }

    /** Picks targets of one fabric domain, those that hold the weights first; null if there are too few. */
    List<KnownTarget> fromFabric(FabricDomainId fabric, int count, ModelGroupSpec spec) {
        List<KnownTarget> there = byFabric.getOrDefault(fabric, List.of());
        if (there.size() < count) {
            return null;
        }
        List<KnownTarget> sorted = new ArrayList<>(there);
        sorted.sort(Comparator.comparing((KnownTarget t) -> !holds(t, spec)).thenComparing(KnownTarget::instance));
        return new ArrayList<>(sorted.subList(0, count));
    }

    /** Picks the targets of a whole new group; null if no fabric domain has enough. */
    List<KnownTarget> groupFor(ModelGroupSpec spec) {
        FabricDomainId fabric = fabricFor(spec);
        return fabric == null ? null : fromFabric(fabric, spec.targetsPerReplica(), spec);
    }

    /**
     * Picks the fabric domain that fits most tightly, so that whole free ones stay whole; where the policy holds spares,
     * one that keeps a spare goes first.
     */
    FabricDomainId fabricFor(ModelGroupSpec spec) {
        FabricDomainId best = null;
        int bestCost = Integer.MAX_VALUE;
        for (Map.Entry<FabricDomainId, List<KnownTarget>> e : byFabric.entrySet()) {
            int left = e.getValue().size() - spec.targetsPerReplica();
            if (left < 0) {
                continue;
            }
            boolean noSpare = left == 0 && spec.repairPolicy().holdsSpares();
            int cost = noSpare ? Integer.MAX_VALUE - 1 : left;
            if (cost < bestCost) {
                best = e.getKey();
                bestCost = cost;
            }
        }
        return best;
    }

    static boolean holds(KnownTarget t, ModelGroupSpec spec) {
        return spec.model().equals(t.announcement().model())
                && spec.version().equals(t.announcement().version());
    }
}
