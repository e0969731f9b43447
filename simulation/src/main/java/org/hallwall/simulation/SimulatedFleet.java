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
package org.hallwall.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.group.Engine;
import org.hallwall.serving.group.GroupAction;
import org.hallwall.serving.group.GroupPlan;
import org.hallwall.serving.group.LoadThrottle;
import org.hallwall.serving.group.StageOrder;
import org.hallwall.serving.group.StagingPlan;
import org.hallwall.serving.group.TargetOrder;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;

/** The engines of a deployment and the controller that runs the planners and applies their orders. */
final class SimulatedFleet {

    private static final String SERVICE = "llm";
    /** Time to detect an unreachable member of a group with active streams, in milliseconds. */
    private static final long ACTIVE_DETECTION_MILLIS = 500;
    /** Time without heartbeats after which the planners treat an engine as silent, in milliseconds: 2.5 heartbeats. */
    private static final long SILENCE_THRESHOLD_MILLIS = 3_000;
    /** Time to declare any other unreachable engine failed, in milliseconds. */
    private static final long IDLE_DETECTION_MILLIS = 20_000;
    /** Duration of a join when the engine already has the model loaded, in milliseconds. */
    private static final long LOADED_JOIN_MILLIS = 200;
    /** Factor on the duration of loads started during warm-up. */
    private static final double WARM_UP_LOAD_FACTOR = 0.1;

    private final SimulationScenario scenario;
    private final EngineSpec spec;
    private final UniformRandomProvider random;
    private final GroupPlan plan;
    private final StagingPlan staging;
    private final LoadThrottle throttle = new LoadThrottle();
    private final WeightStore store;
    private final Map<InstanceId, SimulatedEngine> engines = new LinkedHashMap<>();
    private final Map<String, SimulatedGroup> groups = new LinkedHashMap<>();
    private int engineCount;
    private int loadCount;

    SimulatedFleet(SimulationScenario scenario, Mechanisms mechanisms, UniformRandomProvider random) {
        this.scenario = scenario;
        this.spec = scenario.spec();
        this.random = random;
        this.plan = new GroupPlan(1, mechanisms);
        this.staging = new StagingPlan(mechanisms);
        this.store = new WeightStore(spec.maxConcurrentLoads());
        for (int d = 0; d < scenario.fabricDomains(); d++) {
            for (int n = 0; n < scenario.enginesPerDomain(); n++) {
                addEngine(d);
            }
        }
    }

    void addEngine(int domain) {
        int d = domain < 0 ? random.nextInt(scenario.fabricDomains()) : domain;
        SimulatedEngine e =
                new SimulatedEngine("i-" + (1_000 + ++engineCount), "z" + d % scenario.failureDomains(), "d" + d);
        engines.put(e.id, e);
    }

    /** Makes a random reachable group member permanently unreachable, if there is one. */
    void failRandomMember() {
        List<SimulatedEngine> inGroups = new ArrayList<>();
        for (SimulatedGroup r : groups.values()) {
            r.members().stream()
                    .map(engines::get)
                    .filter(e -> e != null && !e.unreachable)
                    .forEach(inGroups::add);
        }
        if (!inGroups.isEmpty()) {
            SimulatedEngine e = inGroups.get(random.nextInt(inGroups.size()));
            e.unreachable = true;
            e.unreachableSinceMillis = now;
            store.cancelLoad(e);
        }
    }

    void setDomainUnreachable(int domain, boolean unreachable) {
        for (SimulatedEngine e : engines.values()) {
            if (e.fabricDomain.equals("d" + domain)) {
                e.unreachable = unreachable;
                e.unreachableSinceMillis = now;
            }
        }
    }

    private long now;

    /** Advances the fleet and its controller to the given time. */
    void advanceTo(long until, Map<String, Integer> streams) {
        long millis = until - now;
        now = until;
        for (SimulatedEngine e : store.advance(millis)) {
            throttle.release(e.id);
        }
        engines.values().forEach(this::advanceMembership);
        detectFailures();
        runController(streams);
    }

    /** Returns the groups of a model that accept streams. */
    List<SimulatedGroup> openGroups(String model) {
        List<SimulatedGroup> out = new ArrayList<>();
        for (SimulatedGroup r : groups.values()) {
            SimulatedEngine head = engines.get(r.head());
            boolean open = head != null
                    && !head.markedFailed
                    && head.isHeadOf(r.name())
                    && head.membership.state() == GroupState.OPEN;
            boolean memberFailed = r.members().stream().anyMatch(id -> engines.get(id).markedFailed);
            if (open && !memberFailed && r.model().equals(model)) {
                out.add(r);
            }
        }
        return out;
    }

    /** Removes groups that no longer serve and returns their streams. */
    List<SimulatedStream> removeStrandedStreams() {
        List<SimulatedStream> out = new ArrayList<>();
        groups.values().removeIf(r -> {
            SimulatedEngine head = engines.get(r.head());
            boolean serves = head != null
                    && head.isHeadOf(r.name())
                    && head.membership.state().reservesMembers()
                    && r.members().stream().noneMatch(id -> engines.get(id).markedFailed);
            if (!serves) {
                out.addAll(r.removeAllStreams());
            }
            return !serves;
        });
        return out;
    }

    Iterable<SimulatedGroup> groups() {
        return groups.values();
    }

    /** Returns whether a group makes no progress because a member is unreachable or has left. */
    boolean isStalled(SimulatedGroup r) {
        for (InstanceId id : r.members()) {
            SimulatedEngine e = engines.get(id);
            if (e.unreachable || e.membership == null || !e.membership.name().equals(r.name())) {
                return true;
            }
        }
        return false;
    }

    int loadCount() {
        return loadCount;
    }

    int openCount(String model) {
        return openGroups(model).size();
    }

    // --- engine state

    private void advanceMembership(SimulatedEngine e) {
        if (e.unreachable || e.membership == null) {
            return;
        }
        if (e.membership.state() == GroupState.JOINING && now >= e.joinedAtMillis) {
            e.loadedModel = e.joinOrder.model();
            e.setState(GroupState.READY);
        }
        if (e.membership.state() == GroupState.READY && now >= e.opensAtMillis) {
            e.opensAtMillis = Long.MAX_VALUE;
            e.setState(GroupState.OPEN);
            groups.put(e.membership.name(), new SimulatedGroup(e.joinOrder, spec, scenario.timing(), now));
        }
        SimulatedGroup r = groups.get(e.membership.name());
        if (e.membership.rank() == 0
                && e.membership.state() == GroupState.CLOSING
                && (r == null || r.activeStreams() == 0)) {
            e.setState(GroupState.READY);
        }
    }

    private void detectFailures() {
        for (SimulatedEngine e : engines.values()) {
            SimulatedGroup r = e.membership == null ? null : groups.get(e.membership.name());
            boolean active = r != null && r.activeStreams() > 0;
            long silence = e.unreachable ? now - e.unreachableSinceMillis : 0;
            e.markedFailed = e.unreachable
                    && (silence > IDLE_DETECTION_MILLIS
                            || active && silence > ACTIVE_DETECTION_MILLIS
                            || e.markedFailed);
        }
    }

    // --- controller

    private void runController(Map<String, Integer> streams) {
        Map<InstanceId, Engine> view = new LinkedHashMap<>();
        for (SimulatedEngine e : engines.values()) {
            view.put(
                    e.id,
                    e.toEngine(SERVICE, e.unreachable && now - e.unreachableSinceMillis > SILENCE_THRESHOLD_MILLIS));
        }
        for (GroupAction a : plan.step(now, spec, streams, view)) {
            applyOrder(engines.get(a.target().id()), a.order());
        }
        for (StageOrder o : staging.step(now, spec, plan.packing(), plan.freeEngines(view), view)) {
            SimulatedEngine e = engines.get(o.target().id());
            if (!e.unreachable && !store.isLoading(e) && tryStartLoad(e, o)) {
                staging.markStarted(e.id);
                applyOrder(e, new TargetOrder.Stage(o.model()));
            }
        }
    }

    private boolean tryStartLoad(SimulatedEngine e, StageOrder o) {
        if (now < scenario.warmUpMillis()) {
            return throttle.tryStart(e.id, o.model(), Integer.MAX_VALUE, Integer.MAX_VALUE, now);
        }
        return o.isSpare()
                ? throttle.tryStartSpare(e.id, o.model(), spec.maxLoadsPerSecond(), spec.maxConcurrentLoads(), now)
                : throttle.tryStart(e.id, o.model(), spec.maxLoadsPerSecond(), spec.maxConcurrentLoads(), now);
    }

    private void applyOrder(SimulatedEngine e, TargetOrder order) {
        if (e.unreachable) {
            return;
        }
        if (order instanceof TargetOrder.Join j) {
            applyJoin(e, j);
        } else if (order instanceof TargetOrder.Open o
                && e.membership != null
                && e.membership.name().equals(o.group())) {
            e.opensAtMillis = e.opensAtMillis == Long.MAX_VALUE ? now + (long) spec.openMillis() : e.opensAtMillis;
        } else if (order instanceof TargetOrder.Close c && e.isHeadOf(c.group())) {
            if (e.membership.state() == GroupState.OPEN) {
                e.setState(GroupState.CLOSING);
            }
        } else if (order instanceof TargetOrder.Leave l
                && e.membership != null
                && e.membership.name().equals(l.group())) {
            e.membership = null;
            e.joinOrder = null;
        } else if (order instanceof TargetOrder.Stage s && !s.model().equals(e.stagedModel)) {
            loadCount += now < scenario.warmUpMillis() ? 0 : 1;
            store.startLoad(e, s.model(), loadMillis(s.model()));
        }
    }

    private void applyJoin(SimulatedEngine e, TargetOrder.Join j) {
        if (e.joinOrder != null && e.joinOrder.group().equals(j.group())) {
            return;
        }
        e.joinOrder = j;
        e.membership = new GroupMembership(j.group(), j.epoch(), j.members().indexOf(e.id), GroupState.JOINING);
        e.opensAtMillis = Long.MAX_VALUE;
        if (j.model().equals(e.loadedModel)) {
            e.joinedAtMillis = now + LOADED_JOIN_MILLIS;
        } else {
            e.joinedAtMillis = now + (long) (spec.model(j.model()).hostLoadSeconds() * 1_000);
        }
    }

    private double loadMillis(String model) {
        EngineModel m = spec.model(model);
        return m.storeLoadSeconds() * 1_000 * (now < scenario.warmUpMillis() ? WARM_UP_LOAD_FACTOR : 1);
    }
}
