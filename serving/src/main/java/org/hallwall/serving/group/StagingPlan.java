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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;

/** Decides which model each free engine's host holds, so that groups form within one fabric domain and spares stand ready. */
public final class StagingPlan {

    /** How many engines of a fabric domain are kept as spares before another group is planned from them. */
    private static final int SPARES_A_DOMAIN = 1;
    /** How long engines that cannot form a group stand idle before their hosts load another model, in milliseconds. */
    private static final long IDLE_MILLIS = 6_000;

    /** Idle engines load another model only if no more than this many loads make a group of them. */
    private static final int MOST_RELOADS = 2;

    /** After this time free engines are not about to form a group by a repair within their domain, in milliseconds. */
    private static final long REPAIR_MILLIS = 1_500;
    /** How many times larger a group must be than the one that lends it an engine, which ends. */
    private static final int LARGER = 2;

    private final Map<InstanceId, String> assigned = new HashMap<>();
    private final Map<InstanceId, Integer> missingAt = new HashMap<>();
    private final Set<InstanceId> begun = new HashSet<>();
    private final Set<InstanceId> lent = new HashSet<>();
    private final Map<InstanceId, Long> freeSince = new HashMap<>();

    /**
     * Takes one step.
     *
     * @param now the clock in milliseconds
     * @param spec what is known of the service's engines
     * @param streams the streams in progress by model
     * @param free the free engines by fabric domain
     * @param engines all engines of the service
     * @return the engines whose hosts should load a model, the most useful first
     */
    public List<StageOrder> step(
            long now,
            EngineSpec spec,
            Map<String, Integer> streams,
            Map<String, List<Engine>> free,
            Map<InstanceId, Engine> engines) {
        forget(now, free, engines);
        assigned.keySet().retainAll(begun);
        lent.retainAll(begun);
        Map<String, Map<String, Integer>> held = held(spec, engines);
        ModelNeed need = new ModelNeed(spec, streams);
        held.values().forEach(byModel -> {
            for (EngineModel m : spec.models()) {
                need.add(m.name(), byModel.getOrDefault(m.name(), 0) / m.size());
            }
        });
        List<StageOrder> out = new ArrayList<>();
        for (Map.Entry<String, List<Engine>> domain : free.entrySet()) {
            Map<String, Integer> all = held.computeIfAbsent(domain.getKey(), d -> new HashMap<>());
            assign(need, idleByModel(spec, domain.getValue()), all, unassigned(domain.getValue()));
            reassignIdle(now, spec, domain.getValue());
            lend(now, spec, domain.getKey(), domain.getValue(), engines);
            domain.getValue().forEach(e -> addOrder(out, e));
        }
        lent.forEach(id -> addOrder(out, engines.get(id)));
        out.sort(Comparator.comparingInt(StageOrder::missing));
        return out;
    }

    private void addOrder(List<StageOrder> out, Engine e) {
        String model = assigned.get(e.id());
        boolean known = out.stream().anyMatch(o -> o.target() == e);
        if (model != null && !e.hasStaged(model) && !known) {
            out.add(new StageOrder(e, model, missingAt.getOrDefault(e.id(), StageOrder.SPARE)));
        }
    }

    /**
     * Notes that a load has begun; until then an assignment is made anew at each step, as more engines become known.
     *
     * @param target the target
     */
    public void begun(InstanceId target) {
        begun.add(target);
    }

    private void forget(long now, Map<String, List<Engine>> free, Map<InstanceId, Engine> engines) {
        assigned.keySet()
                .removeIf(id -> engines.get(id) == null || !engines.get(id).isUsable());
        begun.retainAll(assigned.keySet());
        missingAt.keySet().retainAll(begun);
        Map<InstanceId, Long> still = new HashMap<>();
        for (List<Engine> list : free.values()) {
            list.forEach(e -> still.put(e.id(), freeSince.getOrDefault(e.id(), now)));
        }
        freeSince.clear();
        freeSince.putAll(still);
    }

    /** Counts by fabric domain and model the engines whose hosts hold it or will. */
    private Map<String, Map<String, Integer>> held(EngineSpec spec, Map<InstanceId, Engine> engines) {
        Map<String, Map<String, Integer>> out = new HashMap<>();
        for (Engine e : engines.values()) {
            String model = modelOf(spec, e);
            if (e.isUsable() && model != null && e.record().fabricDomain() != null) {
                out.computeIfAbsent(e.record().fabricDomain(), d -> new HashMap<>())
                        .merge(model, 1, Integer::sum);
            }
        }
        return out;
    }

    /** Counts by model the free engines of a domain whose hosts hold it or will. */
    private Map<String, Integer> idleByModel(EngineSpec spec, List<Engine> free) {
        Map<String, Integer> out = new HashMap<>();
        for (Engine e : free) {
            String model = modelOf(spec, e);
            if (model != null) {
                out.merge(model, 1, Integer::sum);
            }
        }
        return out;
    }

    private String modelOf(EngineSpec spec, Engine e) {
        String planned = assigned.get(e.id());
        if (planned != null) {
            return planned;
        }
        for (String s : e.record().staged()) {
            if (spec.model(s) != null) {
                return s;
            }
        }
        return null;
    }

    private List<Engine> unassigned(List<Engine> free) {
        List<Engine> out = new ArrayList<>();
        for (Engine e : free) {
            if (e.record().staged().isEmpty() && !assigned.containsKey(e.id())) {
                out.add(e);
            }
        }
        return out;
    }

    /** First sets that can be completed, the most needed and least incomplete first; what is left becomes spares. */
    private void assign(ModelNeed need, Map<String, Integer> idle, Map<String, Integer> all, List<Engine> left) {
        EngineModel next = nextSet(need, idle, left.size());
        while (next != null) {
            int missing = missing(idle, next);
            for (int i = 0; i < missing; i++) {
                give(left.remove(0), next, missing, idle, all);
            }
            need.add(next.name(), 1);
            next = nextSet(need, idle, left.size());
        }
        while (!left.isEmpty()) {
            give(left.remove(0), spareModel(need, idle, all), StageOrder.SPARE, idle, all);
        }
    }

    private void give(Engine e, EngineModel model, int missing, Map<String, Integer> idle, Map<String, Integer> all) {
        assigned.put(e.id(), model.name());
        missingAt.put(e.id(), missing);
        idle.merge(model.name(), 1, Integer::sum);
        all.merge(model.name(), 1, Integer::sum);
    }

    private static int missing(Map<String, Integer> idle, EngineModel m) {
        return m.size() - idle.getOrDefault(m.name(), 0) % m.size();
    }

    private static EngineModel nextSet(ModelNeed need, Map<String, Integer> idle, int left) {
        EngineModel best = null;
        double most = 0;
        for (EngineModel m : need.spec().models()) {
            int missing = missing(idle, m);
            // a set that is begun may take the last engine; a new one leaves a spare
            int reserve = missing < m.size() ? 0 : SPARES_A_DOMAIN;
            double worth = need.of(m) * m.size() / missing;
            if (missing <= left - reserve && worth > most) {
                most = worth;
                best = m;
            }
        }
        return best;
    }

    /** A spare is for the model of which most is lost without it, or goes on with a set that is begun. */
    private static EngineModel spareModel(ModelNeed need, Map<String, Integer> idle, Map<String, Integer> all) {
        EngineModel best = need.spec().models().get(0);
        double most = -1;
        for (EngineModel m : need.spec().models()) {
            int spares = idle.getOrDefault(m.name(), 0) % m.size();
            boolean begun = spares > 1;
            int groups = (all.getOrDefault(m.name(), 0) - spares) / m.size() + (begun ? 1 : 0);
            // any of its engines may be lost, and stops a whole group; a group is worth what its model needs of it
            double atRisk = groups * m.size() * need.of(m) * m.size();
            double worth = begun ? atRisk * spares : atRisk / (1 + spares);
            if (worth > most) {
                most = worth;
                best = m;
            }
        }
        return best;
    }

    /** Engines that stand idle beside each other, each with too few of its model, take up one model together. */
    private void reassignIdle(long now, EngineSpec spec, List<Engine> free) {
        List<Engine> idle = new ArrayList<>();
        for (Engine e : free) {
            if (now - freeSince.get(e.id()) > IDLE_MILLIS && !isLoading(e)) {
                idle.add(e);
            }
        }
        EngineModel best = null;
        int fewest = MOST_RELOADS + 1;
        for (EngineModel m : spec.models()) {
            int has = (int) idle.stream().filter(e -> e.hasStaged(m.name())).count();
            if (idle.size() >= m.size() && has < m.size() && m.size() - has < fewest) {
                fewest = m.size() - has;
                best = m;
            }
        }
        if (best == null) {
            return;
        }
        int missing = fewest;
        for (Engine e : idle) {
            if (fewest > 0 && !e.hasStaged(best.name())) {
                assigned.put(e.id(), best.name());
                missingAt.put(e.id(), missing);
                fewest--;
            }
        }
    }

    /**
     * Lets a host load the model of a large group that lacks a single engine: that of a spare, or of an engine in a much smaller
     * group. The small group serves meanwhile; when the load has ended, {@link GroupPlan} takes it apart.
     */
    private void lend(long now, EngineSpec spec, String domain, List<Engine> free, Map<InstanceId, Engine> engines) {
        for (EngineModel m : spec.models()) {
            long waiting = free.stream()
                    .filter(e -> e.hasStaged(m.name()) && now - freeSince.get(e.id()) > REPAIR_MILLIS)
                    .count();
            if (waiting == m.size() - 1 && !isComing(m, domain, free, engines)) {
                lender(spec, m, domain, free, engines).ifPresent(e -> {
                    assigned.put(e.id(), m.name());
                    missingAt.put(e.id(), 1);
                    lent.add(e.id());
                });
            }
        }
    }

    /** Says whether a host of the domain, besides those of free engines, holds the model or will, though its engine has another. */
    private boolean isComing(EngineModel m, String domain, List<Engine> free, Map<InstanceId, Engine> engines) {
        for (Engine e : engines.values()) {
            boolean near = e.isUsable() && domain.equals(e.record().fabricDomain());
            boolean loads = m.name().equals(assigned.get(e.id())) && !e.hasStaged(m.name());
            boolean holds = e.hasStaged(m.name()) && !m.name().equals(e.record().model()) && !free.contains(e);
            if (near && (loads || holds)) {
                return true;
            }
        }
        return false;
    }

    /** Finds a host that holds the model of a much smaller group: a spare's, or else that of an engine in such a group. */
    private Optional<Engine> lender(
            EngineSpec spec, EngineModel large, String domain, List<Engine> free, Map<InstanceId, Engine> engines) {
        return engines.values().stream()
                .filter(e -> e.isUsable() && domain.equals(e.record().fabricDomain()))
                .filter(e -> !assigned.containsKey(e.id()) && holdsMuchSmaller(spec, large, e))
                .min(Comparator.comparing((Engine e) -> !free.contains(e)).thenComparing(Engine::id));
    }

    private static boolean holdsMuchSmaller(EngineSpec spec, EngineModel large, Engine e) {
        for (EngineModel m : spec.models()) {
            if (e.hasStaged(m.name())) {
                return m.size() * LARGER <= large.size();
            }
        }
        return false;
    }

    private boolean isLoading(Engine e) {
        String model = assigned.get(e.id());
        return model != null && !e.hasStaged(model);
    }
}
