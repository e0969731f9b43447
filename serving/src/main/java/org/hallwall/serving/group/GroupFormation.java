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

/**
 * Forms groups of free engines and ends groups whose engines are wanted for others, both by one packing over all fabric domains.
 */
final class GroupFormation {

    /** Stands for the fabric domain of a group over several. */
    static final String ACROSS = "several";
    /** The packing is decided anew after this time, in milliseconds, though nothing but the demand has changed. */
    private static final long PACK_MILLIS = 500;
    /** How long engines stand idle before they form a group that their domain does not lack, in milliseconds: longer than a repair. */
    private static final long IDLE_MILLIS = 1_500;

    private final Mechanisms mechanisms;
    private final Map<String, PlannedGroup> groups;
    private final LongSupplier nextEpoch;
    private final Consumer<InstanceId> chosenListener;
    private final SmoothedStreams asked = new SmoothedStreams();
    private final IdleTimes idleTimes = new IdleTimes();
    private final SlowGroups slow = new SlowGroups();
    private List<DomainEngines> packed = List.of();
    private Packing packing = Packing.NONE;
    private long packedAt;

    /**
     * Creates it.
     *
     * @param mechanisms those in use
     * @param groups the groups of the plan, to which new ones are added
     * @param nextEpoch gives the epoch of a new group
     * @param chosenListener told which engines were chosen for a group
     */
    GroupFormation(
            Mechanisms mechanisms,
            Map<String, PlannedGroup> groups,
            LongSupplier nextEpoch,
            Consumer<InstanceId> chosenListener) {
        this.mechanisms = mechanisms;
        this.groups = groups;
        this.nextEpoch = nextEpoch;
        this.chosenListener = chosenListener;
    }

    /** Gives the packing of the last decision. */
    Packing packing() {
        return packing;
    }

    /** Decides anew how many groups each domain should hold, when engines or groups have changed or demand may have. */
    void decide(long now, EngineSpec spec, Map<String, Integer> streams, Map<InstanceId, Engine> engines) {
        asked.take(now, streams);
        List<DomainEngines> domains = new DomainCount(spec, groups.values(), engines).domains();
        if (!domains.equals(packed) || now - packedAt >= PACK_MILLIS) {
            int count = domains.stream().mapToInt(DomainEngines::engines).sum();
            ModelDemand demand = new ModelDemand(spec, asked.smoothed(), count);
            packing = PackingSearch.decide(demand, domains, mechanisms.has(Mechanism.SPARES));
            packed = domains;
            packedAt = now;
        }
    }

    // --- forming

    /** Forms groups; each changes which engines are free. */
    void form(long now, EngineSpec spec, Supplier<Map<String, List<Engine>>> free) {
        Map<String, List<Engine>> before = free.get();
        idleTimes.take(now, before);
        before.forEach((domain, engines) -> formIn(now, spec, domain, engines));
        if (mechanisms.has(Mechanism.FAR_GROUPS)) {
            formAcross(now, spec, free.get());
        }
    }

    /** First the groups that the domain lacks, then, from engines that stand idle beyond its spares, any that can be formed. */
    private void formIn(long now, EngineSpec spec, String domain, List<Engine> free) {
        List<Engine> left = new ArrayList<>(free);
        Map<String, Integer> formed = new HashMap<>();
        EngineModel next = lackingModel(spec, domain, left, formed);
        while (next != null) {
            formOne(now, next, domain, left);
            formed.merge(next.name(), 1, Integer::sum);
            next = lackingModel(spec, domain, left, formed);
        }
        List<Engine> idle = idleTimes.longerThan(now, IDLE_MILLIS, left);
        int surplus = idle.size() - packing.spares(spec, domain);
        next = surplusModel(spec, idle, surplus);
        while (next != null) {
            formOne(now, next, domain, idle);
            surplus -= next.size();
            next = surplusModel(spec, idle, surplus);
        }
    }

    /** Finds the model whose next group is worth most among those that the domain lacks and that free engines can form. */
    private EngineModel lackingModel(EngineSpec spec, String domain, List<Engine> free, Map<String, Integer> formed) {
        EngineModel best = null;
        double most = 0;
        for (EngineModel m : spec.models()) {
            int lacking = packing.lacking(domain, m.name()) - formed.getOrDefault(m.name(), 0);
            double worth = packing.demand().nextWorth(m, count(m));
            if (lacking > 0 && countAble(m, free) >= m.size() && worth > most) {
                most = worth;
                best = m;
            }
        }
        return best;
    }

    /** Finds the model whose next group is worth most for each engine among those that idle engines can form. */
    private EngineModel surplusModel(EngineSpec spec, List<Engine> idle, int surplus) {
        EngineModel best = null;
        double most = 0;
        for (EngineModel m : spec.models()) {
            if (m.size() > surplus || countAble(m, idle) < m.size()) {
                continue;
            }
            double worth = packing.demand().nextWorth(m, count(m)) / m.size();
            if (worth > most) {
                most = worth;
                best = m;
            }
        }
        return best;
    }

    /** Forms slower groups over several fabric domains from engines that stand idle. */
    private void formAcross(long now, EngineSpec spec, Map<String, List<Engine>> free) {
        List<Engine> idle = slow.idle(now, free);
        for (EngineModel m : spec.models()) {
            for (int left = slow.wanted(m, countAll(m), idle); left > 0; left--) {
                formOne(now, m, ACROSS, idle);
            }
        }
    }

    private void formOne(long now, EngineModel model, String domain, List<Engine> left) {
        List<Engine> able = new ArrayList<>(
                left.stream().filter(e -> e.canJoin(model.name())).toList());
        // Engines that held the model in their last group join at once.
        able.sort(Comparator.comparing((Engine e) -> !model.name().equals(e.lastModel())));
        List<Engine> chosen = List.copyOf(able.subList(0, model.size()));
        left.removeAll(chosen);
        chosen.forEach(e -> chosenListener.accept(e.id()));
        long epoch = nextEpoch.getAsLong();
        List<InstanceId> members = chosen.stream().map(Engine::id).toList();
        PlannedGroup g = new PlannedGroup("g" + epoch, epoch, model.name(), domain, members, now);
        groups.put(g.name(), g);
    }

    // --- ending

    /** Ends groups whose engines are wanted for better ones, few at a time, so that little capacity is missing. */
    void retire(EngineSpec spec, Map<String, List<Engine>> free, Map<InstanceId, Engine> engines) {
        for (EngineModel m : spec.models()) {
            retireSlow(m, free, engines);
        }
        if (!mechanisms.has(Mechanism.TAKE_APART)) {
            return;
        }
        for (String domain : packing.domains().keySet()) {
            for (EngineModel m : spec.models()) {
                if (packing.lacking(domain, m.name()) > 0) {
                    retireFor(domain, m, countAble(m, free.getOrDefault(domain, List.of())), engines);
                }
            }
        }
    }

    /**
     * Ends a group over several fabric domains when one of them could form a group from its members there and engines that are
     * free beside them: that one is faster by a factor. One at a time for each model.
     */
    private void retireSlow(EngineModel m, Map<String, List<Engine>> free, Map<InstanceId, Engine> engines) {
        List<PlannedGroup> ofModel =
                groups.values().stream().filter(g -> g.model().equals(m.name())).toList();
        if (ofModel.stream().anyMatch(PlannedGroup::isRetiring)) {
            return;
        }
        for (PlannedGroup g : ofModel) {
            boolean serves = g.hasServed() && !g.isClosing();
            if (serves && SlowGroups.couldBeFaster(m, g.members(), free, engines)) {
                g.retire();
                return;
            }
        }
    }

    /**
     * Ends groups of which a domain has more than it should, when their engines and free ones can form a group that it lacks:
     * otherwise a large group that has ended never comes back where small ones have taken its engines.
     */
    private void retireFor(String domain, EngineModel lacking, int free, Map<InstanceId, Engine> engines) {
        int able = free;
        List<PlannedGroup> chosen = new ArrayList<>();
        Map<String, Integer> taken = new HashMap<>();
        for (PlannedGroup g : groups.values()) {
            if (!g.fabricDomain().equals(domain) || able >= lacking.size()) {
                continue;
            }
            int surplus = -packing.lacking(domain, g.model()) - taken.getOrDefault(g.model(), 0);
            boolean ends = g.isEnding();
            if (!ends && (!g.hasServed() || surplus <= 0)) {
                continue;
            }
            List<Engine> known = g.members().stream()
                    .map(engines::get)
                    .filter(Objects::nonNull)
                    .toList();
            int members = countAble(lacking, known);
            able += members;
            if (!ends && members > 0) {
                chosen.add(g);
                taken.merge(g.model(), 1, Integer::sum);
            }
        }
        if (able >= lacking.size()) {
            chosen.forEach(PlannedGroup::retire);
        }
    }

    // --- counts

    private int count(EngineModel m) {
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

    private static int countAble(EngineModel m, List<Engine> engines) {
        int out = 0;
        for (Engine e : engines) {
            out += e.canJoin(m.name()) ? 1 : 0;
        }
        return out;
    }
}
