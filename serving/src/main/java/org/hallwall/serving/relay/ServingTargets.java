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
import org.hallwall.serving.target.GroupMark;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetRecord;

/** Which targets may take requests, judged from what all of them announced; it never changes. */
public final class ServingTargets {

    /** No targets. */
    public static final ServingTargets NONE = new ServingTargets(Map.of(), Map.of());

    private final Map<String, List<ServingTarget>> byService;
    private final Map<InstanceId, GroupMark> openHeads;

    private ServingTargets(Map<String, List<ServingTarget>> byService, Map<InstanceId, GroupMark> openHeads) {
        this.byService = byService;
        this.openHeads = openHeads;
    }

    /**
     * Judges targets.
     *
     * @param configuration the configuration in force
     * @param records the last announcement of each target
     * @return the targets that may take requests
     */
    public static ServingTargets of(Configuration configuration, Collection<TargetRecord> records) {
        Map<String, Integer> present = new HashMap<>();
        Map<String, Set<String>> domains = new HashMap<>();
        Map<InstanceId, GroupMark> heads = new HashMap<>();
        for (TargetRecord r : records) {
            GroupMark m = r.group();
            if (m == null) {
                continue;
            }
            if (r.isServing() && m.state().hasJoined()) {
                present.merge(key(m), 1, Integer::sum);
                domains.computeIfAbsent(key(m), k -> new HashSet<>()).add(r.fabricDomain());
            }
            if (m.rank() == 0 && m.state().holdsMembers() && !r.isOver()) {
                heads.put(r.instance(), m);
            }
        }
        Map<String, List<ServingTarget>> out = new HashMap<>();
        for (TargetRecord r : records) {
            ServingTarget t = judge(configuration, r, present, domains);
            if (t != null) {
                out.computeIfAbsent(r.service(), s -> new ArrayList<>()).add(t);
            }
        }
        return new ServingTargets(out, heads);
    }

    /**
     * Lists the targets of a service that serve a model.
     *
     * @param service the service
     * @param model the model, or null if the request names none
     * @return the targets
     */
    public List<ServingTarget> of(String service, String model) {
        List<ServingTarget> out = new ArrayList<>();
        for (ServingTarget t : byService.getOrDefault(service, List.of())) {
            if (t.model() == null || model == null || t.model().equals(model)) {
                out.add(t);
            }
        }
        return out;
    }

    /**
     * Says whether a target still works on requests that it has taken.
     *
     * @param target the target
     * @return false if its head announced that the group no longer serves
     */
    public boolean stillWorks(ServingTarget target) {
        return target.group() == null || target.group().sameGroup(openHeads.get(target.instance()));
    }

    /**
     * Counts the targets.
     *
     * @return how many may take requests
     */
    public int size() {
        return byService.values().stream().mapToInt(List::size).sum();
    }

    private static ServingTarget judge(
            Configuration c, TargetRecord r, Map<String, Integer> present, Map<String, Set<String>> domains) {
        TargetService service = c.services().get(r.service());
        if (service == null || !r.isServing()) {
            return null;
        }
        EngineSpec spec = service.engine();
        if (spec == null) {
            return new ServingTarget(
                    r.instance(), r.sequence(), r.address(), r.failureDomain(), r.slots(), null, null, 1);
        }
        GroupMark m = r.group();
        EngineModel model = r.model() == null ? null : spec.model(r.model());
        if (m == null || model == null || m.rank() != 0 || m.state() != GroupState.OPEN) {
            return null;
        }
        if (present.getOrDefault(key(m), 0) != model.size()) {
            return null;
        }
        double slowness = domains.get(key(m)).size() > 1 ? spec.farFactor() : 1;
        return new ServingTarget(
                r.instance(), r.sequence(), r.address(), r.failureDomain(), spec.slots(), model.name(), m, slowness);
    }

    private static String key(GroupMark m) {
        return m.name() + " " + m.epoch();
    }
}
