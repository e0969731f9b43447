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

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.resource.ResourceMessage.DomainReport;
import org.hallwall.resource.ResourceMessage.GroupCount;

/**
 * Tracks group downtime and stranded accelerators of a failure domain and creates its beacons and status reports. Not
 * thread-safe.
 */
final class DomainStatusReporter {

    private final DomainControllerConfig config;
    private final DomainTiming timing;
    private final DomainCounters counters = new DomainCounters();

    DomainStatusReporter(DomainControllerConfig config) {
        this.config = config;
        this.timing = config.timing();
    }

    /** Merges the counters of the previous controller, so that they do not decrease after a change of controller. */
    void mergeCounters(DomainMessage.Beacon beacon) {
        counters.merge(beacon);
    }

    DomainMessage.Beacon createBeacon(long term, List<GroupId> draining) {
        return new DomainMessage.Beacon(
                config.self(), term, draining, counters.strandedSeconds(), counters.downtimeSeconds());
    }

    /** Adds the time elapsed since the previous call to both counters. */
    void updateCounters(DomainSnapshot snapshot, long millis) {
        Set<InstanceId> serving = new HashSet<>();
        for (GroupView g : snapshot.groups().values()) {
            if (g.isComplete(snapshot.now(), timing.announcementTtl())) {
                serving.addAll(g.membership().members());
            }
        }
        int stranded = 0;
        for (AnnouncedTarget t : snapshot.targets()) {
            boolean healthy = t.isFresh(snapshot.now(), timing.announcementTtl());
            stranded += healthy && !serving.contains(t.instance())
                    ? t.announcement().accelerators()
                    : 0;
        }
        counters.addStranded(stranded, millis);
        for (DesiredModelGroup w : snapshot.wanted()) {
            int missing = Math.max(0, w.share() - countCompleteGroups(w, snapshot, false));
            counters.addDowntime(w.modelGroup().value(), missing, millis);
        }
    }

    private int countCompleteGroups(DesiredModelGroup w, DomainSnapshot snapshot, boolean currentOnly) {
        int n = 0;
        for (GroupView g : snapshot.groups().values()) {
            boolean sameModelGroup = g.membership().modelGroup().equals(w.modelGroup());
            boolean matchesVersion = !currentOnly || g.matchesSpec(w.spec());
            n += sameModelGroup && matchesVersion && g.isComplete(snapshot.now(), timing.announcementTtl()) ? 1 : 0;
        }
        return n;
    }

    /** Creates the status report that is sent to the voters. */
    DomainReport createReport(DomainSnapshot snapshot, long term) {
        Map<String, GroupCount> counts = new TreeMap<>();
        for (DesiredModelGroup w : snapshot.wanted()) {
            String name = w.modelGroup().value();
            counts.put(
                    name,
                    new GroupCount(
                            w.generation(),
                            w.share(),
                            countCompleteGroups(w, snapshot, false),
                            countCompleteGroups(w, snapshot, true),
                            counters.downtimeSeconds(name)));
        }
        int live = 0;
        int accelerators = 0;
        for (AnnouncedTarget t : snapshot.targets()) {
            if (t.isFresh(snapshot.now(), timing.memberTimeout())
                    && !t.announcement().leaving()) {
                live++;
                accelerators += t.announcement().accelerators();
            }
        }
        return new DomainReport(
                config.domain(),
                config.self(),
                term,
                live,
                accelerators,
                counters.strandedAccelerators(),
                counters.strandedSeconds(),
                counts);
    }
}
