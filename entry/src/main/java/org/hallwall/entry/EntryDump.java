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
package org.hallwall.entry;

import java.util.List;
import java.util.Map;

import org.hallwall.core.duty.EventLoopState;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.domain.ControllerState;
import org.hallwall.wire.PeerTraffic;

/**
 * The dump of an entry.
 *
 * @param entry the entry
 * @param failureDomain its failure domain
 * @param declarationVersion the version in force
 * @param declarationsMayBeOld whether no voter has answered lately
 * @param liveEntries how many entries of the failure domain can be reached, this one included
 * @param inFlight the requests in progress
 * @param queued the requests that wait
 * @param dispatched the requests that were given a group
 * @param retriesTaken the retries taken
 * @param retriesRefused the retries that the budget refused
 * @param announcementsTaken the announcements taken
 * @param announcementsStale the announcements dropped because a later one was known
 * @param claims the claimed keys kept here
 * @param claimsSure whether no claim that matters has been forgotten
 * @param controller the state of the domain controller here
 * @param rings the rings between the threads
 * @param groups the groups that this entry knows
 * @param targets the targets that this entry knows
 * @param received the peer traffic received
 * @param sent the peer traffic sent
 */
record EntryDump(
        InstanceId entry,
        FailureDomainId failureDomain,
        long declarationVersion,
        boolean declarationsMayBeOld,
        int liveEntries,
        int inFlight,
        int queued,
        long dispatched,
        long retriesTaken,
        long retriesRefused,
        long announcementsTaken,
        long announcementsStale,
        int claims,
        boolean claimsSure,
        ControllerState controller,
        List<EventLoopState> rings,
        List<Group> groups,
        List<Target> targets,
        PeerTraffic received,
        Map<String, PeerTraffic> sent) {

    /**
     * A group.
     *
     * @param group the group
     * @param complete whether it is complete
     * @param usable whether it may be given a run
     * @param members its members
     * @param outstanding the runs in progress from this entry
     * @param estimatedLoad the estimated runs in progress from all entries
     * @param slow whether it is marked as slow
     * @param firstTokenMillis the smoothed time to the first token
     */
    record Group(
            GroupId group,
            boolean complete,
            boolean usable,
            List<InstanceId> members,
            int outstanding,
            int estimatedLoad,
            boolean slow,
            double firstTokenMillis) {}

    /**
     * A target.
     *
     * @param instance the target
     * @param ageMillis how long ago its last announcement was made
     * @param group the group that it announces; null if none
     * @param leaving whether it is leaving
     */
    record Target(InstanceId instance, long ageMillis, GroupId group, boolean leaving) {}
}
