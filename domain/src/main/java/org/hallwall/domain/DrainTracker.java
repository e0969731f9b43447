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

/** Tracks the progress of the drains that a controller has started. Not thread-safe. */
final class DrainTracker {

    private final DomainTiming timing;
    private final Map<GroupId, Long> drainStartedAt = new HashMap<>();
    private final Map<InstanceId, ReceivedReport> reports = new HashMap<>();

    DrainTracker(DomainTiming timing) {
        this.timing = timing;
    }

    void updateDraining(Set<GroupId> wanted, long now) {
        drainStartedAt.keySet().retainAll(wanted);
        for (GroupId g : wanted) {
            drainStartedAt.putIfAbsent(g, now);
        }
    }

    List<GroupId> draining() {
        return List.copyOf(drainStartedAt.keySet());
    }

    void recordReport(DomainMessage.DrainReport report, long now) {
        reports.put(report.entry(), new ReceivedReport(report, now));
    }

    /**
     * Finds the groups that are drained: the settle time has passed, every entry with a recent report has no run on the
     * group, and the head of the group, if present, has announced since then that it has no running or queued run.
     */
    Set<GroupId> findDrained(Map<GroupId, GroupView> groups, long now) {
        Set<GroupId> out = new HashSet<>();
        for (Map.Entry<GroupId, Long> e : drainStartedAt.entrySet()) {
            GroupView g = groups.get(e.getKey());
            long settledAt = e.getValue() + timing.drainSettleTime();
            if (g != null && now >= settledAt && isHeadIdle(g, settledAt) && isIdleAtEntries(e.getKey(), now)) {
                out.add(e.getKey());
            }
        }
        return out;
    }

    /** An announcement from before all entries have received the drain may not include the latest runs. */
    private static boolean isHeadIdle(GroupView g, long settledAt) {
        if (g.head() == null) {
            return true;
        }
        if (g.head().announcedAt() < settledAt) {
            return false;
        }
        TargetLoad load = g.head().announcement().load();
        return load.running() == 0 && load.queued() == 0;
    }

    private boolean isIdleAtEntries(GroupId group, long now) {
        for (ReceivedReport r : reports.values()) {
            boolean recent = now - r.receivedAt < timing.controllerLease();
            Integer runs = r.report.outstanding().get(group.value());
            if (recent && (runs == null || runs > 0)) {
                return false;
            }
        }
        return true;
    }

    private record ReceivedReport(DomainMessage.DrainReport report, long receivedAt) {}
}
