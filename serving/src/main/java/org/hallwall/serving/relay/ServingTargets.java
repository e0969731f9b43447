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
package org.hallwall.serving.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.config.TargetService;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetRecord;

/** Immutable set of the targets that can serve requests, derived from the announcements of all targets. */
public final class ServingTargets {

    /** The empty set. */
    public static final ServingTargets NONE = new ServingTargets(Map.of(), Map.of());

    private final Map<String, List<ServingTarget>> byService;
    private final Map<InstanceId, GroupMembership> servingHeads;

    private ServingTargets(Map<String, List<ServingTarget>> byService, Map<InstanceId, GroupMembership> openHeads) {
        this.byService = byService;
        this.servingHeads = openHeads;
    }

    /**
     * Derives the serving targets from announcements.
     *
     * @param configuration the active configuration
     * @param records the latest announcement of each target
     * @return the targets that can serve requests
     */
    public static ServingTargets of(Configuration configuration, Collection<TargetRecord> records) {
        Map<String, Integer> joinedMembers = new HashMap<>();
        Map<String, Set<String>> fabricDomains = new HashMap<>();
        Map<InstanceId, GroupMembership> heads = new HashMap<>();
        for (TargetRecord r : records) {
            GroupMembership m = r.group();
            if (m == null) {
                continue;
            }
            if (r.isServing() && m.state().hasJoined()) {
                joinedMembers.merge(key(m), 1, Integer::sum);
                fabricDomains.computeIfAbsent(key(m), k -> new HashSet<>()).add(r.fabricDomain());
            }
            if (m.rank() == 0 && m.state().reservesMembers() && !r.isOver()) {
                heads.put(r.instance(), m);
            }
        }
        Map<String, List<ServingTarget>> out = new HashMap<>();
        for (TargetRecord r : records) {
            ServingTarget t = toServingTarget(configuration, r, joinedMembers, fabricDomains);
            if (t != null) {
                out.computeIfAbsent(r.service(), s -> new ArrayList<>()).add(t);
            }
        }
        return new ServingTargets(out, heads);
    }

    /**
     * Returns the targets of a service that serve a model.
     *
     * @param service the service
     * @param model the model, or null for any
     * @return the targets
     */
    public List<ServingTarget> find(String service, String model) {
        List<ServingTarget> out = new ArrayList<>();
        for (ServingTarget t : byService.getOrDefault(service, List.of())) {
            if (t.model() == null || model == null || t.model().equals(model)) {
                out.add(t);
            }
        }
        return out;
    }

    /**
     * Returns whether a target still processes the requests that it has accepted.
     *
     * @param target the target
     * @return false if the head has announced that the group no longer serves
     */
    public boolean isStillServing(ServingTarget target) {
        return target.group() == null || target.group().isSameGroup(servingHeads.get(target.instance()));
    }

    /**
     * Returns all targets.
     *
     * @return the targets of all services
     */
    public List<ServingTarget> all() {
        return byService.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Returns the number of targets.
     *
     * @return the number of targets
     */
    public int size() {
        return byService.values().stream().mapToInt(List::size).sum();
    }

    private static ServingTarget toServingTarget(
            Configuration c,
            TargetRecord r,
            Map<String, Integer> joinedMembers,
            Map<String, Set<String>> fabricDomains) {
        TargetService service = c.services().get(r.service());
        if (service == null || !r.isServing()) {
            return null;
        }
        EngineSpec spec = service.engine();
        if (spec == null) {
            return new ServingTarget(
                    r.instance(), r.sequence(), r.address(), r.failureDomain(), r.slots(), null, null, 1);
        }
        GroupMembership m = r.group();
        EngineModel model = r.model() == null ? null : spec.model(r.model());
        if (m == null || model == null || m.rank() != 0 || m.state() != GroupState.OPEN) {
            return null;
        }
        if (joinedMembers.getOrDefault(key(m), 0) != model.size()) {
            return null;
        }
        double slowness = fabricDomains.get(key(m)).size() > 1 ? spec.crossDomainFactor() : 1;
        return new ServingTarget(
                r.instance(), r.sequence(), r.address(), r.failureDomain(), spec.slots(), model.name(), m, slowness);
    }

    private static String key(GroupMembership m) {
        return m.name() + " " + m.epoch();
    }
}
