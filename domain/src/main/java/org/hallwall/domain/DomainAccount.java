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

/** Measures a failure domain and sums it up. Not safe for use by several threads. */
final class DomainAccount {

    private final DomainSeat seat;
    private final DomainTiming timing;
    private final DomainMeasures measures = new DomainMeasures();

    DomainAccount(DomainSeat seat) {
        this.seat = seat;
        this.timing = seat.timing();
    }

    /** Goes on from the counters of another controller. */
    void adopt(DomainMessage.Beacon earlier) {
        measures.adopt(earlier);
    }

    DomainMessage.Beacon beacon(long term, List<GroupId> draining) {
        return new DomainMessage.Beacon(
                seat.self(), term, draining, measures.strandedSeconds(), measures.downtimeSeconds());
    }

    /** Adds the time since the last look to both measures. */
    void measure(DomainView v, long millis) {
        Set<InstanceId> serving = new HashSet<>();
        for (GroupView g : v.groups().values()) {
            if (g.isComplete(v.now(), timing.announceLease())) {
                serving.addAll(g.membership().members());
            }
        }
        int stranded = 0;
        for (KnownTarget t : v.targets()) {
            boolean healthy = t.isFresh(v.now(), timing.announceLease());
            stranded += healthy && !serving.contains(t.instance())
                    ? t.announcement().accelerators()
                    : 0;
        }
        measures.addStranded(stranded, millis);
        for (WantedGroup w : v.wanted()) {
            int missing = Math.max(0, w.share() - complete(w, v, false));
            measures.addDowntime(w.modelGroup().value(), missing, millis);
        }
    }

    private int complete(WantedGroup w, DomainView v, boolean currentOnly) {
        int n = 0;
        for (GroupView g : v.groups().values()) {
            boolean mine = g.membership().modelGroup().equals(w.modelGroup());
            boolean counted = !currentOnly || g.meets(w.spec());
            n += mine && counted && g.isComplete(v.now(), timing.announceLease()) ? 1 : 0;
        }
        return n;
    }

    /** Sums up the failure domain for the voters. */
    DomainReport report(DomainView v, long term) {
        Map<String, GroupCount> counts = new TreeMap<>();
        for (WantedGroup w : v.wanted()) {
            String name = w.modelGroup().value();
            counts.put(
                    name,
                    new GroupCount(
                            w.generation(),
                            w.share(),
                            complete(w, v, false),
                            complete(w, v, true),
                            measures.downtimeSeconds(name)));
        }
        int fresh = 0;
        int accelerators = 0;
        for (KnownTarget t : v.targets()) {
            if (t.isFresh(v.now(), timing.deadAfter()) && !t.announcement().leaving()) {
                fresh++;
                accelerators += t.announcement().accelerators();
            }
        }
        return new DomainReport(
                seat.domain(),
                seat.self(),
                term,
                fresh,
                accelerators,
                measures.strandedNow(),
                measures.strandedSeconds(),
                counts);
    }
}
