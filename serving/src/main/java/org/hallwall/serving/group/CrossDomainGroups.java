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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;

/**
 * Decides on cross-domain groups. They are slower by a factor, so they are formed only for a model that has lost many of its
 * groups; otherwise the engines are more useful as spares.
 */
final class CrossDomainGroups {

    /** The fraction of a model's peak number of groups below which cross-domain groups are formed. */
    private static final double MIN_GROUP_FRACTION = 0.7;
    /** How long engines are idle before they join a cross-domain group, in milliseconds: longer than a repair within a domain. */
    private static final long MIN_IDLE_MILLIS = 1_500;

    private final Map<String, Integer> peaks = new HashMap<>();
    private final IdleTracker idleTimes = new IdleTracker();

    /**
     * Updates the idle times and returns the idle engines.
     *
     * @param now the current time in milliseconds
     * @param free the free engines by fabric domain
     * @return the engines that have been free for longer than a repair takes
     */
    List<Engine> idle(long now, Map<String, List<Engine>> free) {
        idleTimes.update(now, free);
        List<Engine> all = new ArrayList<>();
        free.values().forEach(all::addAll);
        return idleTimes.idleLongerThan(now, MIN_IDLE_MILLIS, all);
    }

    /**
     * Returns the number of cross-domain groups to form for a model.
     *
     * @param model the model
     * @param count the current number of its groups
     * @param idle the idle engines
     * @return the number of groups that are needed and that the idle engines can form
     */
    int groupsToForm(EngineModel model, int count, List<Engine> idle) {
        int peak = peaks.merge(model.name(), count, Math::max);
        long joinable = idle.stream().filter(e -> e.canJoin(model.name())).count();
        int deficit = (int) Math.ceil(peak * MIN_GROUP_FRACTION - count);
        return Math.max(0, Math.min(deficit, (int) (joinable / model.size())));
    }

    /**
     * Returns whether a domain could form a faster group from its members of a cross-domain group and its free engines. Members
     * without a domain count for none.
     *
     * @param model the group's model
     * @param members the group's members
     * @param free the free engines by fabric domain
     * @param engines all engines of the service
     * @return true if a domain could; false if all members are in one domain
     */
    static boolean canFormInOneDomain(
            EngineModel model,
            List<InstanceId> members,
            Map<String, List<Engine>> free,
            Map<InstanceId, Engine> engines) {
        Map<String, Integer> byDomain = new TreeMap<>();
        for (InstanceId id : members) {
            Engine e = engines.get(id);
            if (e == null) {
                return false;
            }
            String domain = e.record().fabricDomain();
            if (domain != null) {
                byDomain.merge(domain, 1, Integer::sum);
            }
        }
        if (byDomain.size() < 2) {
            return false;
        }
        for (Map.Entry<String, Integer> d : byDomain.entrySet()) {
            long freeJoinable = free.getOrDefault(d.getKey(), List.of()).stream()
                    .filter(e -> e.canJoin(model.name()))
                    .count();
            if (freeJoinable < model.size() && d.getValue() + freeJoinable >= model.size()) {
                return true;
            }
        }
        return false;
    }
}
