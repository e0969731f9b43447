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
package org.hallwall.resource;

import java.util.List;
import java.util.Map;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;

/** A message between entries and voters, or between voters, about declarations and status. */
public sealed interface ResourceMessage extends PeerMessage {

    /**
     * Registers the message types of this interface.
     *
     * @param messageTypes the registry of message types
     */
    static void register(PeerMessageTypes messageTypes) {
        messageTypes
                .register(20, Watch.class)
                .register(21, Changes.class)
                .register(22, EntryReport.class)
                .register(23, DomainReport.class)
                .register(24, Command.class)
                .register(25, CommandReply.class)
                .register(26, ReadIndex.class)
                .register(27, ReadIndexReply.class)
                .register(28, FormDomain.class)
                .register(29, FormedDomain.class);
    }

    /**
     * Requests the changes after a version (long poll).
     *
     * @param after the version of the sender
     * @param waitMillis the maximum time that the voter waits for a change
     */
    record Watch(long after, long waitMillis) implements ResourceMessage {}

    /**
     * The response to {@link Watch}.
     *
     * @param version the voter's applied version; if it is lower than requested, the voter lags behind
     * @param whole whether {@code events} contains all resources instead of incremental changes
     * @param events the changes, or all resources
     */
    record Changes(long version, boolean whole, List<ResourceEvent> events) implements ResourceMessage {}

    /**
     * Reports the version of the declarations at an entry.
     *
     * @param entry the entry
     * @param domain its failure domain
     * @param version the version
     * @param mayBeOld whether the version may be outdated because no voter could be reached recently
     */
    record EntryReport(InstanceId entry, FailureDomainId domain, long version, boolean mayBeOld)
            implements ResourceMessage {}

    /**
     * Reports the groups of a failure domain.
     *
     * @param domain the failure domain
     * @param controller the domain controller
     * @param term its lease term
     * @param targets the number of live targets that are not leaving
     * @param accelerators the number of accelerators of these targets
     * @param strandedAccelerators the number of healthy accelerators that belong to no complete group
     * @param strandedAcceleratorSeconds the stranded accelerators, accumulated over time
     * @param groups the state of each model group
     */
    record DomainReport(
            FailureDomainId domain,
            InstanceId controller,
            long term,
            int targets,
            int accelerators,
            int strandedAccelerators,
            double strandedAcceleratorSeconds,
            Map<String, GroupCount> groups)
            implements ResourceMessage {}

    /**
     * The state of one model group in one failure domain.
     *
     * @param generation the generation observed by the controller
     * @param wanted the desired number of replicas
     * @param complete the number of complete groups
     * @param current the number of complete groups that have the declared version
     * @param downtimeSeconds the accumulated downtime of desired groups, in seconds
     */
    record GroupCount(long generation, int wanted, int complete, int current, double downtimeSeconds) {}

    /**
     * Forwards a command to the leader.
     *
     * @param command the serialized command
     */
    record Command(byte[] command) implements ResourceMessage {}

    /**
     * The response to {@link Command}.
     *
     * @param outcome the serialized outcome; null if the command failed
     * @param verdict if the command failed, whether it may have been committed
     * @param detail if the command failed, the error message
     */
    record CommandReply(byte[] outcome, Verdict verdict, String detail) implements ResourceMessage {}

    /**
     * Registers that all entries of a failure domain have started without any state.
     *
     * @param domain the failure domain
     * @param boots the boot identifiers of all its entries; empty to query the registered ones only
     */
    record FormDomain(FailureDomainId domain, List<String> boots) implements ResourceMessage {}

    /**
     * The response to {@link FormDomain}.
     *
     * @param boots the boot identifiers with which the failure domain was first formed; empty if there are none or no
     *     quorum of voters responded
     */
    record FormedDomain(List<String> boots) implements ResourceMessage {}

    /**
     * Requests the read index from the leader: a read is linearizable once this index is applied.
     *
     * @param askedAt the time of the request on the clock of the sender
     */
    record ReadIndex(long askedAt) implements ResourceMessage {}

    /**
     * The response to {@link ReadIndex}.
     *
     * @param index the index; zero if the voter is not a leader with a quorum
     */
    record ReadIndexReply(long index) implements ResourceMessage {}
}
