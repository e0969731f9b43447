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
import org.hallwall.serving.target.GroupMembership;

/**
 * Decides which models are staged on each host, so that missing groups can form and engines can switch models without a load
 * from the weight store.
 *
 * <p>An engine can join a group of its last model immediately, and of the model staged on its host within a few seconds. Once an
 * engine has a model in memory, a second one is staged on its host, so that it can serve either.
 */
public final class StagingPlan {

    /** The time after which free engines are idle rather than part of a repair within their domain, in milliseconds. */
    private static final long MIN_IDLE_MILLIS = 1_500;

    private final Map<InstanceId, String> assigned = new HashMap<>();
    private final Map<InstanceId, Integer> missingByEngine = new HashMap<>();
    private final Set<InstanceId> startedLoads = new HashSet<>();
    private final IdleTracker idleTimes = new IdleTracker();
    private final Mechanisms mechanisms;
    private EngineSpec spec;
    private Packing packing = Packing.NONE;

    /**
     * Creates a plan without loads.
     *
     * @param mechanisms the enabled mechanisms
     */
    public StagingPlan(Mechanisms mechanisms) {
        this.mechanisms = mechanisms;
    }

    /**
     * Updates the plan and returns the loads that it requires.
     *
     * @param now the current time in milliseconds
     * @param currentSpec the parameters of the service's engines
     * @param currentPacking the number of groups that every fabric domain should have
     * @param free the free engines by fabric domain
     * @param engines all engines of the service
     * @return the required loads, in order of priority
     */
    public List<StageOrder> step(
            long now,
            EngineSpec currentSpec,
            Packing currentPacking,
            Map<String, List<Engine>> free,
            Map<InstanceId, Engine> engines) {
        spec = currentSpec;
        packing = currentPacking;
        pruneAssignments(engines);
        idleTimes.update(now, free);
        for (Map.Entry<String, List<Engine>> domain : free.entrySet()) {
            assignBlankEngines(domain.getKey(), domain.getValue());
            List<Engine> idle = idleTimes.idleLongerThan(now, MIN_IDLE_MILLIS, domain.getValue());
            reassignIdle(domain.getKey(), idle);
        }
        for (String domain : packing.domains().keySet()) {
            List<Engine> idle = idleTimes.idleLongerThan(now, MIN_IDLE_MILLIS, free.getOrDefault(domain, List.of()));
            if (mechanisms.isEnabled(Mechanism.TAKE_APART)) {
                stageOnSurplusMembers(domain, idle, engines);
            }
        }
        if (mechanisms.isEnabled(Mechanism.SECOND_MODEL)) {
            engines.values().forEach(this::addSecondModel);
        }
        return orders(engines);
    }

    private List<StageOrder> orders(Map<InstanceId, Engine> engines) {
        List<StageOrder> out = new ArrayList<>();
        assigned.forEach((id, model) -> {
            Engine e = engines.get(id);
            if (!e.hasStaged(model)) {
                out.add(new StageOrder(e, model, missingByEngine.getOrDefault(id, StageOrder.SPARE)));
            }
        });
        out.sort(Comparator.comparingInt(StageOrder::missingEngines)
                .thenComparing(o -> o.target().id()));
        return out;
    }

    /**
     * Records that a load has started. Assignments without a started load are recomputed at each step.
     *
     * @param target the target
     */
    public void markStarted(InstanceId target) {
        startedLoads.add(target);
    }

    /** Removes all assignments except those whose load has started and not completed. */
    private void pruneAssignments(Map<InstanceId, Engine> engines) {
        assigned.entrySet().removeIf(a -> {
            Engine e = engines.get(a.getKey());
            return e == null || !e.isUsable() || !startedLoads.contains(a.getKey()) || e.hasStaged(a.getValue());
        });
        startedLoads.retainAll(assigned.keySet());
        missingByEngine.keySet().retainAll(startedLoads);
    }

    /** Returns whether an engine can join a group of a model, now or once its assigned load has completed. */
    private boolean willBeAbleToJoin(Engine e, EngineModel m) {
        return e.canJoin(m.name()) || m.name().equals(assigned.get(e.id()));
    }

    private int countJoinable(Collection<Engine> engines, EngineModel m) {
        return (int) engines.stream().filter(e -> willBeAbleToJoin(e, m)).count();
    }

    private void assignModel(Engine e, EngineModel model, int missing) {
        assigned.put(e.id(), model.name());
        missingByEngine.put(e.id(), missing);
    }

    // --- engines without a model

    /** Assigns engines to groups that can be completed, in order of utility per load; remaining engines become spares. */
    private void assignBlankEngines(String domain, List<Engine> free) {
        List<Engine> unassigned = new ArrayList<>();
        for (Engine e : free) {
            boolean blank = e.record().staged().isEmpty() && e.lastModel() == null;
            if (blank && !assigned.containsKey(e.id())) {
                unassigned.add(e);
            }
        }
        Map<EngineModel, Integer> plannedGroups = new HashMap<>();
        EngineModel next = nextGroupModel(domain, free, unassigned.size(), plannedGroups);
        while (next != null) {
            int missing = missingEngines(free, next, plannedGroups);
            for (int i = 0; i < missing; i++) {
                assignModel(unassigned.remove(0), next, missing);
            }
            plannedGroups.merge(next, 1, Integer::sum);
            next = nextGroupModel(domain, free, unassigned.size(), plannedGroups);
        }
        while (!unassigned.isEmpty()) {
            assignModel(unassigned.remove(0), spareModel(domain, free), StageOrder.SPARE);
        }
    }

    /** Returns the number of engines that the next group of a model lacks, in addition to the groups planned in this step. */
    private int missingEngines(List<Engine> free, EngineModel m, Map<EngineModel, Integer> plannedGroups) {
        int needed = m.size() * (plannedGroups.getOrDefault(m, 0) + 1);
        return Math.max(0, needed - countJoinable(free, m));
    }

    private EngineModel nextGroupModel(
            String domain, List<Engine> free, int available, Map<EngineModel, Integer> plannedGroups) {
        EngineModel best = null;
        double bestUtility = 0;
        for (EngineModel m : spec.models()) {
            int planned = plannedGroups.getOrDefault(m, 0);
            int missing = missingEngines(free, m, plannedGroups);
            if (packing.deficit(domain, m.name()) <= planned || missing > available) {
                continue;
            }
            double utility = marginalUtility(domain, m, planned) / Math.max(1, missing);
            if (utility > bestUtility) {
                bestUtility = utility;
                best = m;
            }
        }
        return best;
    }

    private double marginalUtility(String domain, EngineModel m, int planned) {
        int present = packing.groupCount(domain, m.name()) - packing.deficit(domain, m.name());
        return packing.demand()
                .marginalUtility(
                        m, (present + planned) * (double) packing.domains().size());
    }

    /** Returns the model whose spare covers the highest expected loss, or continues a partially loaded group. */
    private EngineModel spareModel(String domain, List<Engine> free) {
        EngineModel best = spec.models().get(0);
        double bestUtility = -1;
        for (EngineModel m : spec.models()) {
            int spares = countJoinable(free, m) % m.size();
            boolean partialGroup = spares > 1;
            int groups = packing.groupCount(domain, m.name()) + (partialGroup ? 1 : 0);
            // the loss of any member stops the whole group
            double utilityAtRisk = groups * m.size() * marginalUtility(domain, m, 0) * m.size();
            double utility = partialGroup ? utilityAtRisk * spares : utilityAtRisk / (1 + spares);
            if (utility > bestUtility) {
                bestUtility = utility;
                best = m;
            }
        }
        return best;
    }

    // --- engines with a model other than the one their domain lacks

    /** Assigns the model of a missing group to idle engines. */
    private void reassignIdle(String domain, List<Engine> idle) {
        EngineModel m = mostNeededModel(domain);
        if (m == null) {
            return;
        }
        int missing = m.size() - countJoinable(idle, m);
        if (missing <= 0 || idle.size() < m.size()) {
            return;
        }
        assignToFirst(idle, m, missing);
    }

    /** Assigns a model to the first engines that have no assigned load and cannot join a group of the model. */
    private void assignToFirst(List<Engine> engines, EngineModel m, int missing) {
        int remaining = missing;
        for (Engine e : engines) {
            if (remaining > 0 && !willBeAbleToJoin(e, m) && !assigned.containsKey(e.id())) {
                assignModel(e, m, missing);
                remaining--;
            }
        }
    }

    private EngineModel mostNeededModel(String domain) {
        EngineModel best = null;
        double bestUtility = 0;
        for (EngineModel m : spec.models()) {
            if (packing.deficit(domain, m.name()) > 0 && marginalUtility(domain, m, 0) > bestUtility) {
                bestUtility = marginalUtility(domain, m, 0);
                best = m;
            }
        }
        return best;
    }

    /**
     * Stages the model of a missing group on hosts of surplus groups. Their members keep serving during the loads;
     * {@link GroupPlan} retires the groups afterwards.
     */
    private void stageOnSurplusMembers(String domain, List<Engine> idle, Map<InstanceId, Engine> engines) {
        EngineModel m = mostNeededModel(domain);
        if (m == null || idle.size() >= m.size()) {
            return;
        }
        List<Engine> members = surplusMembers(domain, engines.values());
        int missing = m.size() - countJoinable(idle, m) - countJoinable(members, m);
        long assignable = members.stream()
                .filter(e -> !willBeAbleToJoin(e, m) && !assigned.containsKey(e.id()))
                .count();
        if (missing > 0 && missing <= assignable) {
            assignToFirst(members, m, missing);
        }
    }

    /** Returns the members of the surplus groups of each model in a domain, ordered by group name. */
    private List<Engine> surplusMembers(String domain, Collection<Engine> engines) {
        Map<String, List<Engine>> groups = new TreeMap<>();
        for (Engine e : engines) {
            GroupMembership membership = e.record().group();
            boolean joined = membership != null && membership.state().hasJoined() && e.isUsable();
            if (joined && domain.equals(e.record().fabricDomain())) {
                groups.computeIfAbsent(membership.name(), n -> new ArrayList<>())
                        .add(e);
            }
        }
        Map<String, Integer> selectedByModel = new HashMap<>();
        List<Engine> out = new ArrayList<>();
        for (List<Engine> members : groups.values()) {
            members.sort(Comparator.comparing(Engine::id));
            EngineModel model =
                    spec.model(String.valueOf(members.get(0).record().model()));
            boolean complete = model != null && members.size() == model.size();
            int surplus = model == null ? 0 : -packing.deficit(domain, model.name());
            if (complete && selectedByModel.getOrDefault(model.name(), 0) < surplus) {
                selectedByModel.merge(model.name(), 1, Integer::sum);
                out.addAll(members);
            }
        }
        return out;
    }

    // --- second models

    /** Stages the model of highest marginal utility, other than the one in the engine's memory, on the engine's host. */
    private void addSecondModel(Engine e) {
        String loaded = e.lastModel();
        boolean onlyLoaded = loaded != null && (e.record().staged().isEmpty() || e.hasStaged(loaded));
        if (!onlyLoaded
                || !e.isUsable()
                || assigned.containsKey(e.id())
                || e.record().fabricDomain() == null) {
            return;
        }
        EngineModel best = null;
        double bestUtility = 0;
        for (EngineModel m : spec.models()) {
            double utility = marginalUtility(e.record().fabricDomain(), m, 0);
            if (!m.name().equals(loaded) && utility > bestUtility) {
                bestUtility = utility;
                best = m;
            }
        }
        if (best != null && spec.model(loaded) != null) {
            assignModel(e, best, StageOrder.SPARE);
        }
    }
}
