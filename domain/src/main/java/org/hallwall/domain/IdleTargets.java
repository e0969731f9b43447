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

/** The targets that belong to no group, by fabric domain. */
final class IdleTargets {

    private final Map<FabricDomainId, List<AnnouncedTarget>> byFabric = new TreeMap<>();

    void add(AnnouncedTarget t) {
        FabricDomainId fabric = t.announcement().fabricDomain();
        if (fabric != null) {
            byFabric.computeIfAbsent(fabric, f -> new ArrayList<>()).add(t);
        }
    }

    void remove(List<AnnouncedTarget> used) {
        for (List<AnnouncedTarget> targets : byFabric.values()) {
            targets.removeAll(used);
        }
    }

    List<AnnouncedTarget> inFabric(FabricDomainId fabric) {
        return new ArrayList<>(byFabric.getOrDefault(fabric, List.of()));
    }

    /** Selects targets of one fabric domain, those with the weights loaded first; null if there are too few. */
    List<AnnouncedTarget> selectFromFabric(FabricDomainId fabric, int count, ModelGroupSpec spec) {
        List<AnnouncedTarget> available = byFabric.getOrDefault(fabric, List.of());
        if (available.size() < count) {
            return null;
        }
        List<AnnouncedTarget> sorted = new ArrayList<>(available);
        sorted.sort(Comparator.comparing((AnnouncedTarget t) -> !hasWeights(t, spec))
                .thenComparing(AnnouncedTarget::instance));
        return new ArrayList<>(sorted.subList(0, count));
    }

    /** Selects the targets of a new group; null if no fabric domain has enough. */
    List<AnnouncedTarget> selectGroup(ModelGroupSpec spec) {
        FabricDomainId fabric = selectFabric(spec);
        return fabric == null ? null : selectFromFabric(fabric, spec.targetsPerReplica(), spec);
    }

    /**
     * Selects the fabric domain with the fewest targets left over (best fit), to limit fragmentation. If the policy
     * reserves spares, a domain that keeps a spare is preferred.
     */
    FabricDomainId selectFabric(ModelGroupSpec spec) {
        FabricDomainId best = null;
        int bestCost = Integer.MAX_VALUE;
        for (Map.Entry<FabricDomainId, List<AnnouncedTarget>> e : byFabric.entrySet()) {
            int left = e.getValue().size() - spec.targetsPerReplica();
            if (left < 0) {
                continue;
            }
            boolean leavesNoSpare = left == 0 && spec.repairPolicy().reservesSpares();
            int cost = leavesNoSpare ? Integer.MAX_VALUE - 1 : left;
            if (cost < bestCost) {
                best = e.getKey();
                bestCost = cost;
            }
        }
        return best;
    }

    static boolean hasWeights(AnnouncedTarget t, ModelGroupSpec spec) {
        return spec.model().equals(t.announcement().model())
                && spec.version().equals(t.announcement().version());
    }
}
