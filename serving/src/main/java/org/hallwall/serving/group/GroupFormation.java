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
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.decision.Mechanism;
import org.hallwall.serving.decision.Mechanisms;

/** Forms groups of free engines and retires groups whose engines are needed for others, by one packing over all fabric domains. */
final class GroupFormation {

    /** The fabric domain of a cross-domain group. */
    static final String CROSS_DOMAIN = "several";
    /** The interval at which the packing is recomputed when engines and groups have not changed, in milliseconds. */
    private static final long REPACK_INTERVAL_MILLIS = 500;
    /** How long engines are idle before they form a group beyond the packing, in milliseconds: longer than a repair. */
    private static final long MIN_IDLE_MILLIS = 1_500;

    private final Mechanisms mechanisms;
    private final Map<String, PlannedGroup> groups;
    private final LongSupplier nextEpoch;
    private final Consumer<InstanceId> assignmentListener;
    private final StreamAverage averageStreams = new StreamAverage();
    private final IdleTracker idleTimes = new IdleTracker();
    private final CrossDomainGroups crossDomainGroups = new CrossDomainGroups();
    private List<DomainCapacity> packedDomains = List.of();
    private Packing packing = Packing.NONE;
    private long packedAt;

    /**
     * Creates the formation.
     *
     * @param mechanisms the enabled mechanisms
     * @param groups the groups of the plan, to which new ones are added
     * @param nextEpoch supplies the epoch of a new group
     * @param assignmentListener receives the engines that are assigned to a group
     */
    GroupFormation(
            Mechanisms mechanisms,
            Map<String, PlannedGroup> groups,
            LongSupplier nextEpoch,
            Consumer<InstanceId> assignmentListener) {
        this.mechanisms = mechanisms;
        this.groups = groups;
        this.nextEpoch = nextEpoch;
        this.assignmentListener = assignmentListener;
    }

    /** Returns the current packing. */
    Packing packing() {
        return packing;
    }

    /** Recomputes the packing if engines or groups have changed, or at regular intervals as demand changes. */
    void updatePacking(long now, EngineSpec spec, Map<String, Integer> streams, Map<InstanceId, Engine> engines) {
        averageStreams.update(now, streams);
        List<DomainCapacity> domains = new DomainInventory(spec, groups.values(), engines).domains();
        if (!domains.equals(packedDomains) || now - packedAt >= REPACK_INTERVAL_MILLIS) {
            int count = domains.stream().mapToInt(DomainCapacity::engines).sum();
            ModelDemand demand = new ModelDemand(spec, averageStreams.byModel(), count);
            packing = PackingSearch.findPacking(demand, domains, mechanisms.isEnabled(Mechanism.SPARES));
            packedDomains = domains;
            packedAt = now;
        }
    }

    // --- forming

    /** Forms groups; the free engines are read again after groups within domains have formed. */
    void formGroups(long now, EngineSpec spec, Supplier<Map<String, List<Engine>>> free) {
        Map<String, List<Engine>> freeByDomain = free.get();
        idleTimes.update(now, freeByDomain);
        freeByDomain.forEach((domain, engines) -> formInDomain(now, spec, domain, engines));
        if (mechanisms.isEnabled(Mechanism.FAR_GROUPS)) {
            formCrossDomain(now, spec, free.get());
        }
    }

    /** Forms the groups that the domain lacks, then further groups from idle engines beyond its spares. */
    private void formInDomain(long now, EngineSpec spec, String domain, List<Engine> free) {
        List<Engine> available = new ArrayList<>(free);
        Map<String, Integer> formed = new HashMap<>();
        EngineModel next = neededModel(spec, domain, available, formed);
        while (next != null) {
            formGroup(now, next, domain, available);
            formed.merge(next.name(), 1, Integer::sum);
            next = neededModel(spec, domain, available, formed);
        }
        List<Engine> idle = idleTimes.idleLongerThan(now, MIN_IDLE_MILLIS, available);
        int surplus = idle.size() - packing.spareCount(spec, domain);
        next = surplusModel(spec, idle, surplus);
        while (next != null) {
            formGroup(now, next, domain, idle);
            surplus -= next.size();
            next = surplusModel(spec, idle, surplus);
        }
    }

    /** Returns the model with the highest marginal utility among those with a deficit that free engines can form, or null. */
    private EngineModel neededModel(EngineSpec spec, String domain, List<Engine> free, Map<String, Integer> formed) {
        EngineModel best = null;
        double bestUtility = 0;
        for (EngineModel m : spec.models()) {
            int deficit = packing.deficit(domain, m.name()) - formed.getOrDefault(m.name(), 0);
            double utility = packing.demand().marginalUtility(m, countActive(m));
            if (deficit > 0 && countJoinable(m, free) >= m.size() && utility > bestUtility) {
                bestUtility = utility;
                best = m;
            }
        }
        return best;
    }

    /** Returns the model with the highest marginal utility per engine among those that idle engines can form, or null. */
    private EngineModel surplusModel(EngineSpec spec, List<Engine> idle, int surplus) {
        EngineModel best = null;
        double bestUtility = 0;
        for (EngineModel m : spec.models()) {
            if (m.size() > surplus || countJoinable(m, idle) < m.size()) {
                continue;
            }
            double utility = packing.demand().marginalUtility(m, countActive(m)) / m.size();
            if (utility > bestUtility) {
                bestUtility = utility;
                best = m;
            }
        }
        return best;
    }

    /** Forms cross-domain groups from idle engines. */
    private void formCrossDomain(long now, EngineSpec spec, Map<String, List<Engine>> free) {
        List<Engine> idle = crossDomainGroups.idle(now, free);
        for (EngineModel m : spec.models()) {
            for (int remaining = crossDomainGroups.groupsToForm(m, countAll(m), idle); remaining > 0; remaining--) {
                formGroup(now, m, CROSS_DOMAIN, idle);
            }
        }
    }

    private void formGroup(long now, EngineModel model, String domain, List<Engine> available) {
        List<Engine> joinable = new ArrayList<>(
                available.stream().filter(e -> e.canJoin(model.name())).toList());
        // engines whose last group had the model join without loading it from the host
        joinable.sort(Comparator.comparing((Engine e) -> !model.name().equals(e.lastModel())));
        List<Engine> chosen = List.copyOf(joinable.subList(0, model.size()));
        available.removeAll(chosen);
        chosen.forEach(e -> assignmentListener.accept(e.id()));
        long epoch = nextEpoch.getAsLong();
        List<InstanceId> members = chosen.stream().map(Engine::id).toList();
        PlannedGroup g = new PlannedGroup("g" + epoch, epoch, model.name(), domain, members, now);
        groups.put(g.name(), g);
    }

    // --- retiring

    /** Retires groups whose engines are needed for better ones, a few at a time to limit the loss of capacity. */
    void retireGroups(EngineSpec spec, Map<String, List<Engine>> free, Map<InstanceId, Engine> engines) {
        for (EngineModel m : spec.models()) {
            retireCrossDomain(m, free, engines);
        }
        if (!mechanisms.isEnabled(Mechanism.TAKE_APART)) {
            return;
        }
        for (String domain : packing.domains().keySet()) {
            for (EngineModel m : spec.models()) {
                if (packing.deficit(domain, m.name()) > 0) {
                    retireSurplus(domain, m, countJoinable(m, free.getOrDefault(domain, List.of())), engines);
                }
            }
        }
    }

    /**
     * Retires a cross-domain group when one of its domains could form a faster group from the members there and free engines;
     * one at a time for each model.
     */
    private void retireCrossDomain(EngineModel m, Map<String, List<Engine>> free, Map<InstanceId, Engine> engines) {
        List<PlannedGroup> ofModel =
                groups.values().stream().filter(g -> g.model().equals(m.name())).toList();
        if (ofModel.stream().anyMatch(PlannedGroup::isRetiring)) {
            return;
        }
        for (PlannedGroup g : ofModel) {
            boolean serves = g.hasServed() && !g.isClosing();
            if (serves && CrossDomainGroups.canFormInOneDomain(m, g.members(), free, engines)) {
                g.markRetiring();
                return;
            }
        }
    }

    /**
     * Retires surplus groups of a domain when their engines and free ones can form a group that it lacks. Without this, a large
     * group could not form again once small groups have taken its engines.
     */
    private void retireSurplus(String domain, EngineModel needed, int free, Map<InstanceId, Engine> engines) {
        int joinable = free;
        List<PlannedGroup> chosen = new ArrayList<>();
        Map<String, Integer> chosenByModel = new HashMap<>();
        for (PlannedGroup g : groups.values()) {
            if (!g.fabricDomain().equals(domain) || joinable >= needed.size()) {
                continue;
            }
            int surplus = -packing.deficit(domain, g.model()) - chosenByModel.getOrDefault(g.model(), 0);
            boolean ending = g.isEnding();
            if (!ending && (!g.hasServed() || surplus <= 0)) {
                continue;
            }
            List<Engine> known = g.members().stream()
                    .map(engines::get)
                    .filter(Objects::nonNull)
                    .toList();
            int members = countJoinable(needed, known);
            joinable += members;
            if (!ending && members > 0) {
                chosen.add(g);
                chosenByModel.merge(g.model(), 1, Integer::sum);
            }
        }
        if (joinable >= needed.size()) {
            chosen.forEach(PlannedGroup::markRetiring);
        }
    }

    // --- counts

    private int countActive(EngineModel m) {
        int out = 0;
        for (PlannedGroup g : groups.values()) {
            out += g.model().equals(m.name()) && !g.isEnding() ? 1 : 0;
        }
        return out;
    }

    private int countAll(EngineModel m) {
        int out = 0;
        for (PlannedGroup g : groups.values()) {
            out += g.model().equals(m.name()) ? 1 : 0;
        }
        return out;
    }

    private static int countJoinable(EngineModel m, List<Engine> engines) {
        int out = 0;
        for (Engine e : engines) {
            out += e.canJoin(m.name()) ? 1 : 0;
        }
        return out;
    }
}
