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

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.engine.Announcement;
import org.hallwall.wire.PeerKinds;
import org.hallwall.wire.PeerMessage;

/** A message between two entries of one failure domain. */
public sealed interface DomainMessage extends PeerMessage {

    /**
     * Registers the kinds of message, those about the lease included.
     *
     * @param kinds where to register them
     */
    static void register(PeerKinds kinds) {
        kinds.add(30, LeaseMessage.Request.class)
                .add(31, LeaseMessage.Reply.class)
                .add(32, LeaseMessage.Release.class)
                .add(33, Relayed.class)
                .add(34, Beacon.class)
                .add(35, DrainReport.class);
    }

    /**
     * Passes announcements on: whole ones, and for those that only repeat what was passed on lately, what is new.
     *
     * @param announcements the whole announcements
     * @param repeats the others
     */
    record Relayed(List<Aged> announcements, List<Repeat> repeats) implements DomainMessage {}

    /**
     * An announcement that differs from an earlier one in its sequence and load only. Written without names.
     *
     * @param instance the target
     * @param content the hash of what stays the same
     * @param sequence the sequence
     * @param running the runs that it executes
     * @param queued the runs that wait in it
     * @param ageMillis how long ago it was heard
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Repeat(InstanceId instance, int content, long sequence, int running, int queued, int ageMillis) {}

    /**
     * An announcement with its age.
     *
     * @param announcement the announcement
     * @param ageMillis how long ago it was heard
     */
    record Aged(Announcement announcement, long ageMillis) {}

    /**
     * What the controller tells all entries, several times a second.
     *
     * @param controller the controller
     * @param term its lease term
     * @param draining the groups that must get no new work
     * @param strandedAcceleratorSeconds the counter, for the next controller
     * @param downtimeSeconds the counters by model group, for the next controller
     */
    record Beacon(
            InstanceId controller,
            long term,
            List<GroupId> draining,
            double strandedAcceleratorSeconds,
            Map<String, Double> downtimeSeconds)
            implements DomainMessage {}

    /**
     * Answers a beacon.
     *
     * @param entry the entry
     * @param outstanding the runs in progress on each draining group
     */
    record DrainReport(InstanceId entry, Map<String, Integer> outstanding) implements DomainMessage {}
}
