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
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.decision.Mechanism;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.GroupMark;

/**
 * Decides which model each host holds, so that the groups that a domain lacks can form, and its engines can turn to another
 * model without the store.
 *
 * <p>An engine can join a group of the model of its last group at once, and of the model that its host holds in a second or two. So
 * once an engine has its model, its host loads another one: it can then serve either.
 */
public final class StagingPlan {

    /** After this time free engines are not about to form a group by a repair within their domain, in milliseconds. */
    private static final long REPAIR_MILLIS = 1_500;

    private final Map<InstanceId, String> assigned = new HashMap<>();
    private final Map<InstanceId, Integer> missingAt = new HashMap<>();
    private final Set<InstanceId> begun = new HashSet<>();
    private final IdleTimes idleTimes = new IdleTimes();
    private final Mechanisms mechanisms;
    private EngineSpec spec;
    private Packing packing = Packing.NONE;

    /**
     * Creates a plan without loads.
     *
     * @param mechanisms those in use
     */
    public StagingPlan(Mechanisms mechanisms) {
        this.mechanisms = mechanisms;
    }

    /**
     * Takes one step.
     *
     * @param now the clock in milliseconds
     * @param known what is known of the service's engines
     * @param wanted how many groups every fabric domain should hold
     * @param free the free engines by fabric domain
     * @param engines all engines of the service
     * @return the engines whose hosts should load a model, the most useful first
     */
    public List<StageOrder> step(
            long now,
            EngineSpec known,
            Packing wanted,
            Map<String, List<Engine>> free,
            Map<InstanceId, Engine> engines) {
        spec = known;
        packing = wanted;
        forget(engines);
        idleTimes.take(now, free);
        for (Map.Entry<String, List<Engine>> domain : free.entrySet()) {
            assign(domain.getKey(), domain.getValue());
            List<Engine> idle = idleTimes.longerThan(now, REPAIR_MILLIS, domain.getValue());
            turnIdle(domain.getKey(), idle);
        }
        for (String domain : packing.domains().keySet()) {
            List<Engine> idle = idleTimes.longerThan(now, REPAIR_MILLIS, free.getOrDefault(domain, List.of()));
            if (mechanisms.has(Mechanism.TAKE_APART)) {
                lend(domain, idle, engines);
            }
        }
        if (mechanisms.has(Mechanism.SECOND_MODEL)) {
            engines.values().forEach(this::addSecondModel);
        }
        return orders(engines);
    }

    private List<StageOrder> orders(Map<InstanceId, Engine> engines) {
        List<StageOrder> out = new ArrayList<>();
        assigned.forEach((id, model) -> {
            Engine e = engines.get(id);
            if (!e.hasStaged(model)) {
                out.add(new StageOrder(e, model, missingAt.getOrDefault(id, StageOrder.SPARE)));
            }
        });
        out.sort(Comparator.comparingInt(StageOrder::missing)
                .thenComparing(o -> o.target().id()));
        return out;
    }

    /**
     * Notes that a load has begun; until then an assignment is made anew at each step, as more engines become known.
     *
     * @param target the target
     */
    public void begun(InstanceId target) {
        begun.add(target);
    }

    /** Keeps the loads that have begun and have not ended. */
    private void forget(Map<InstanceId, Engine> engines) {
        assigned.entrySet().removeIf(a -> {
            Engine e = engines.get(a.getKey());
            return e == null || !e.isUsable() || !begun.contains(a.getKey()) || e.hasStaged(a.getValue());
        });
        begun.retainAll(assigned.keySet());
        missingAt.keySet().retainAll(begun);
    }

    /** Says whether an engine can join a group of a model, or will when its load has ended. */
    private boolean willJoin(Engine e, EngineModel m) {
        return e.canJoin(m.name()) || m.name().equals(assigned.get(e.id()));
    }

    private int countWillJoin(Collection<Engine> engines, EngineModel m) {
        return (int) engines.stream().filter(e -> willJoin(e, m)).count();
    }

    private void give(Engine e, EngineModel model, int missing) {
        assigned.put(e.id(), model.name());
        missingAt.put(e.id(), missing);
    }

    // --- engines that have no model yet

    /** First sets that can be completed, those worth most for their loads first; what is left becomes spares. */
    private void assign(String domain, List<Engine> free) {
        List<Engine> left = new ArrayList<>();
        for (Engine e : free) {
            boolean blank = e.record().staged().isEmpty() && e.lastModel() == null;
            if (blank && !assigned.containsKey(e.id())) {
                left.add(e);
            }
        }
        Map<EngineModel, Integer> sets = new HashMap<>();
        EngineModel next = nextSet(domain, free, left.size(), sets);
        while (next != null) {
            int missing = missing(free, next, sets);
            for (int i = 0; i < missing; i++) {
                give(left.remove(0), next, missing);
            }
            sets.merge(next, 1, Integer::sum);
            next = nextSet(domain, free, left.size(), sets);
        }
        while (!left.isEmpty()) {
            give(left.remove(0), spareModel(domain, free), StageOrder.SPARE);
        }
    }

    /** Counts the engines that the next set of a model lacks besides those that are planned already. */
    private int missing(List<Engine> free, EngineModel m, Map<EngineModel, Integer> sets) {
        int sized = m.size() * (sets.getOrDefault(m, 0) + 1);
        return Math.max(0, sized - countWillJoin(free, m));
    }

    private EngineModel nextSet(String domain, List<Engine> free, int left, Map<EngineModel, Integer> sets) {
        EngineModel best = null;
        double most = 0;
        for (EngineModel m : spec.models()) {
            int planned = sets.getOrDefault(m, 0);
            int missing = missing(free, m, sets);
            if (packing.lacking(domain, m.name()) <= planned || missing > left) {
                continue;
            }
            double worth = worthOfNext(domain, m, planned) / Math.max(1, missing);
            if (worth > most) {
                most = worth;
                best = m;
            }
        }
        return best;
    }

    private double worthOfNext(String domain, EngineModel m, int planned) {
        int present = packing.groups(domain, m.name()) - packing.lacking(domain, m.name());
        return packing.demand()
                .nextWorth(m, (present + planned) * (double) packing.domains().size());
    }

    /** A spare is for the model of which most is lost without it, or goes on with a set that is begun. */
    private EngineModel spareModel(String domain, List<Engine> free) {
        EngineModel best = spec.models().get(0);
        double most = -1;
        for (EngineModel m : spec.models()) {
            int spares = countWillJoin(free, m) % m.size();
            boolean begins = spares > 1;
            int groups = packing.groups(domain, m.name()) + (begins ? 1 : 0);
            // any of its engines may be lost, and stops a whole group
            double atRisk = groups * m.size() * worthOfNext(domain, m, 0) * m.size();
            double worth = begins ? atRisk * spares : atRisk / (1 + spares);
            if (worth > most) {
                most = worth;
                best = m;
            }
        }
        return best;
    }

    // --- engines that have another model than their domain lacks

    /** Engines that stand idle take up the model of a group that the domain lacks. */
    private void turnIdle(String domain, List<Engine> idle) {
        EngineModel m = mostLacking(domain);
        if (m == null) {
            return;
        }
        int missing = m.size() - countWillJoin(idle, m);
        if (missing <= 0 || idle.size() < m.size()) {
            return;
        }
        giveTo(idle, m, missing);
    }

    /** Gives a model to the first engines that have no load to do and cannot join it. */
    private void giveTo(List<Engine> engines, EngineModel m, int missing) {
        int left = missing;
        for (Engine e : engines) {
            if (left > 0 && !willJoin(e, m) && !assigned.containsKey(e.id())) {
                give(e, m, missing);
                left--;
            }
        }
    }

    private EngineModel mostLacking(String domain) {
        EngineModel best = null;
        double most = 0;
        for (EngineModel m : spec.models()) {
            if (packing.lacking(domain, m.name()) > 0 && worthOfNext(domain, m, 0) > most) {
                most = worthOfNext(domain, m, 0);
                best = m;
            }
        }
        return best;
    }

    /**
     * Lets hosts of groups that the domain has too many of load the model of one that it lacks. They serve meanwhile; when the
     * loads have ended, {@link GroupPlan} takes their groups apart.
     */
    private void lend(String domain, List<Engine> idle, Map<InstanceId, Engine> engines) {
        EngineModel m = mostLacking(domain);
        if (m == null || idle.size() >= m.size()) {
            return;
        }
        List<Engine> members = surplusMembers(domain, engines.values());
        int missing = m.size() - countWillJoin(idle, m) - countWillJoin(members, m);
        long unable = members.stream()
                .filter(e -> !willJoin(e, m) && !assigned.containsKey(e.id()))
                .count();
        if (missing > 0 && missing <= unable) {
            giveTo(members, m, missing);
        }
    }

    /** Lists the members of as many groups of each model as the domain has too many of, in the order of their names. */
    private List<Engine> surplusMembers(String domain, Collection<Engine> engines) {
        Map<String, List<Engine>> groups = new TreeMap<>();
        for (Engine e : engines) {
            GroupMark mark = e.record().group();
            boolean serves = mark != null && mark.state().hasJoined() && e.isUsable();
            if (serves && domain.equals(e.record().fabricDomain())) {
                groups.computeIfAbsent(mark.name(), n -> new ArrayList<>()).add(e);
            }
        }
        Map<String, Integer> taken = new HashMap<>();
        List<Engine> out = new ArrayList<>();
        for (List<Engine> members : groups.values()) {
            members.sort(Comparator.comparing(Engine::id));
            EngineModel model =
                    spec.model(String.valueOf(members.get(0).record().model()));
            boolean whole = model != null && members.size() == model.size();
            int surplus = model == null ? 0 : -packing.lacking(domain, model.name());
            if (whole && taken.getOrDefault(model.name(), 0) < surplus) {
                taken.merge(model.name(), 1, Integer::sum);
                out.addAll(members);
            }
        }
        return out;
    }

    // --- a second model for each engine

    /** An engine keeps the model of its last group, so its host may hold another one: that which is worth most beside it. */
    private void addSecondModel(Engine e) {
        String own = e.lastModel();
        boolean onlyOwn = own != null && (e.record().staged().isEmpty() || e.hasStaged(own));
        if (!onlyOwn
                || !e.isUsable()
                || assigned.containsKey(e.id())
                || e.record().fabricDomain() == null) {
            return;
        }
        EngineModel best = null;
        double most = 0;
        for (EngineModel m : spec.models()) {
            double worth = worthOfNext(e.record().fabricDomain(), m, 0);
            if (!m.name().equals(own) && worth > most) {
                most = worth;
                best = m;
            }
        }
        if (best != null && spec.model(own) != null) {
            give(e, best, StageOrder.SPARE);
        }
    }
}
