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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

    private final Map<InstanceId, String> assigned = new HashMap<>();
    private final Set<InstanceId> begun = new HashSet<>();
    private final Map<InstanceId, Long> freeSince = new HashMap<>();

    /**
     * Takes one step.
     *
     * @param now the clock in milliseconds
     * @param spec what is known of the service's engines
     * @param free the free engines by fabric domain
     * @param engines all engines of the service
     * @return the engines whose hosts should load a model, the most useful first
     */
    public List<GroupAction> step(
            long now, EngineSpec spec, Map<String, List<Engine>> free, Map<InstanceId, Engine> engines) {
        forget(now, free, engines);
        assigned.keySet().retainAll(begun);
        Map<String, Map<String, Integer>> held = held(spec, engines);
        ModelNeed need = new ModelNeed(spec);
        held.values().forEach(byModel -> {
            for (EngineModel m : spec.models()) {
                need.add(m.name(), byModel.getOrDefault(m.name(), 0) / m.size());
            }
        });
        List<GroupAction> out = new ArrayList<>();
        for (Map.Entry<String, List<Engine>> domain : free.entrySet()) {
            Map<String, Integer> here = held.computeIfAbsent(domain.getKey(), d -> new HashMap<>());
            assign(need, here, unassigned(domain.getValue()));
            reassignIdle(now, spec, domain.getValue());
            for (Engine e : domain.getValue()) {
                String model = assigned.get(e.id());
                if (model != null && !e.hasStaged(model)) {
                    out.add(new GroupAction(e, new TargetOrder.Stage(model), "its host lacks the model"));
                }
            }
        }
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

    private void forget(long now, Map<String, List<Engine>> free, Map<InstanceId, Engine> engines) {
        assigned.keySet()
                .removeIf(id -> engines.get(id) == null || !engines.get(id).isUsable());
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

    private void assign(ModelNeed need, Map<String, Integer> here, List<Engine> left) {
        while (!left.isEmpty()) {
            EngineModel next = nextSet(need, here, left.size() - SPARES_A_DOMAIN);
            if (next == null) {
                give(left.remove(0), spareModel(need, here), here);
                continue;
            }
            int missing = missing(here, next);
            for (int i = 0; i < missing; i++) {
                give(left.remove(0), next, here);
            }
            need.add(next.name(), 1);
        }
    }

    private void give(Engine e, EngineModel model, Map<String, Integer> here) {
        assigned.put(e.id(), model.name());
        here.merge(model.name(), 1, Integer::sum);
    }

    private static int missing(Map<String, Integer> here, EngineModel m) {
        return m.size() - here.getOrDefault(m.name(), 0) % m.size();
    }

    private static EngineModel nextSet(ModelNeed need, Map<String, Integer> here, int most) {
        EngineModel best = null;
        for (EngineModel m : need.spec().models()) {
            if (missing(here, m) <= most && (best == null || need.of(m) > need.of(best))) {
                best = m;
            }
        }
        return best;
    }

    /** A spare is for the model with the most groups for each spare in the domain. */
    private static EngineModel spareModel(ModelNeed need, Map<String, Integer> here) {
        EngineModel best = need.spec().models().get(0);
        double most = -1;
        for (EngineModel m : need.spec().models()) {
            int count = here.getOrDefault(m.name(), 0);
            double groupsASpare = (double) (count / m.size()) / (1 + count % m.size());
            if (groupsASpare > most) {
                most = groupsASpare;
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
        int fewest = Integer.MAX_VALUE;
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
        for (Engine e : idle) {
            if (fewest > 0 && !e.hasStaged(best.name())) {
                assigned.put(e.id(), best.name());
                fewest--;
            }
        }
    }

    private boolean isLoading(Engine e) {
        String model = assigned.get(e.id());
        return model != null && !e.hasStaged(model);
    }
}
