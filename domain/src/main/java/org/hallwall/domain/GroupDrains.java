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
package org.hallwall.domain;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.engine.TargetLoad;

/** Follows the drains that a controller has asked for. Not safe for use by several threads. */
final class GroupDrains {

    private final DomainTiming timing;
    private final Map<GroupId, Long> since = new HashMap<>();
    private final Map<InstanceId, Heard> reports = new HashMap<>();

    GroupDrains(DomainTiming timing) {
        this.timing = timing;
    }

    void keepOnly(Set<GroupId> wanted, long now) {
        since.keySet().retainAll(wanted);
        for (GroupId g : wanted) {
            since.putIfAbsent(g, now);
        }
    }

    List<GroupId> draining() {
        return List.copyOf(since.keySet());
    }

    void take(DomainMessage.DrainReport report, long now) {
        reports.put(report.entry(), new Heard(report, now));
    }

    /** A group is drained when the drain has settled, no entry has a run on it and its first member reports none. */
    Set<GroupId> drained(Map<GroupId, GroupView> groups, long now) {
        Set<GroupId> out = new HashSet<>();
        for (Map.Entry<GroupId, Long> e : since.entrySet()) {
            GroupView g = groups.get(e.getKey());
            boolean settled = now - e.getValue() >= timing.drainSettle();
            if (g != null && settled && isQuiet(g) && isQuietAtEntries(e.getKey(), now)) {
                out.add(e.getKey());
            }
        }
        return out;
    }

    private static boolean isQuiet(GroupView g) {
        if (g.head() == null) {
            return true;
        }
        TargetLoad load = g.head().announcement().load();
        return load.running() == 0 && load.queued() == 0;
    }

    private boolean isQuietAtEntries(GroupId group, long now) {
        for (Heard h : reports.values()) {
            boolean live = now - h.at < timing.controllerLease();
            Integer runs = h.report.outstanding().get(group.value());
            if (live && (runs == null || runs > 0)) {
                return false;
            }
        }
        return true;
    }

    private record Heard(DomainMessage.DrainReport report, long at) {}
}
