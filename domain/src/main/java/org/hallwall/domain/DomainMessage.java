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
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;

/** A message between two entries of one failure domain. */
public sealed interface DomainMessage extends PeerMessage {

    /**
     * Registers the message types of this package, lease messages included.
     *
     * @param messageTypes the registry of message types
     */
    static void register(PeerMessageTypes messageTypes) {
        messageTypes
                .register(30, LeaseMessage.Request.class)
                .register(31, LeaseMessage.Reply.class)
                .register(32, LeaseMessage.Release.class)
                .register(33, RelayedAnnouncements.class)
                .register(34, Beacon.class)
                .register(35, DrainReport.class);
    }

    /**
     * Relays announcements to another entry, in full or, if only the sequence and the load have changed since the last
     * full relay, as a short update.
     *
     * @param announcements the full announcements
     * @param repeats the short updates
     */
    record RelayedAnnouncements(List<AgedAnnouncement> announcements, List<AnnouncementUpdate> repeats)
            implements DomainMessage {}

    /**
     * An announcement that differs from an earlier one only in its sequence and load. Serialized as an array to save
     * space.
     *
     * @param instance the target
     * @param content the hash of the unchanged content
     * @param sequence the sequence number
     * @param running the number of runs in progress on the target
     * @param queued the number of runs queued on the target
     * @param ageMillis the time since the announcement was received
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record AnnouncementUpdate(
            InstanceId instance, int content, long sequence, int running, int queued, int ageMillis) {}

    /**
     * An announcement with its age.
     *
     * @param announcement the announcement
     * @param ageMillis the time since the announcement was received
     */
    record AgedAnnouncement(Announcement announcement, long ageMillis) {}

    /**
     * Periodic broadcast of the controller to all entries.
     *
     * @param controller the controller
     * @param term its lease term
     * @param draining the groups that must receive no new runs
     * @param strandedAcceleratorSeconds the counter of stranded accelerators, continued by the next controller
     * @param downtimeSeconds the downtime counter of each model group, continued by the next controller
     */
    record Beacon(
            InstanceId controller,
            long term,
            List<GroupId> draining,
            double strandedAcceleratorSeconds,
            Map<String, Double> downtimeSeconds)
            implements DomainMessage {}

    /**
     * Reports an entry's runs on draining groups, in response to a beacon.
     *
     * @param entry the entry
     * @param outstanding the number of runs in progress by draining group
     */
    record DrainReport(InstanceId entry, Map<String, Integer> outstanding) implements DomainMessage {}
}
