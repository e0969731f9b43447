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
import org.hallwall.wire.PeerKinds;
import org.hallwall.wire.PeerMessage;

/** A message between entries and voters, or between voters, about declarations and status. */
public sealed interface ResourceMessage extends PeerMessage {

    /**
     * Registers the kinds of message.
     *
     * @param kinds where to register them
     */
    static void register(PeerKinds kinds) {
        kinds.add(20, Watch.class)
                .add(21, Changes.class)
                .add(22, EntryReport.class)
                .add(23, DomainReport.class)
                .add(24, Command.class)
                .add(25, CommandReply.class)
                .add(26, ReadIndex.class)
                .add(27, ReadIndexReply.class)
                .add(28, FormDomain.class)
                .add(29, FormedDomain.class);
    }

    /**
     * Asks a voter for the changes after a version; the voter waits a while for one.
     *
     * @param after the version that the asker has
     * @param waitMillis how long the voter may wait
     */
    record Watch(long after, long waitMillis) implements ResourceMessage {}

    /**
     * Answers a watch.
     *
     * @param version the voter's applied version; if it is lower than asked, the voter is behind
     * @param whole whether {@code events} hold all resources instead of the changes since
     * @param events the changes, or all resources
     */
    record Changes(long version, boolean whole, List<ResourceEvent> events) implements ResourceMessage {}

    /**
     * Reports which version an entry has in force.
     *
     * @param entry the entry
     * @param domain its failure domain
     * @param version the version in force
     * @param mayBeOld whether no voter could be reached lately
     */
    record EntryReport(InstanceId entry, FailureDomainId domain, long version, boolean mayBeOld)
            implements ResourceMessage {}

    /**
     * Reports the groups of a failure domain.
     *
     * @param domain the failure domain
     * @param controller the controller
     * @param term its lease term
     * @param targets how many targets are known
     * @param accelerators how many accelerators they have
     * @param strandedAccelerators how many healthy accelerators sit outside any complete group
     * @param strandedAcceleratorSeconds the sum over time since this controller began
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
     * Counts the groups of one model group in one failure domain.
     *
     * @param generation the generation that the controller works towards
     * @param wanted the replicas wanted
     * @param complete the complete groups
     * @param current the complete groups of the declared version
     * @param downtimeSeconds the time that wanted groups could not serve, since this controller began
     */
    record GroupCount(long generation, int wanted, int complete, int current, double downtimeSeconds) {}

    /**
     * Hands a command to the leader.
     *
     * @param command the command
     */
    record Command(byte[] command) implements ResourceMessage {}

    /**
     * Answers a command.
     *
     * @param outcome the outcome; null if there is none
     * @param verdict if there is no outcome, whether the command may be committed
     * @param detail if there is no outcome, one sentence
     */
    record CommandReply(byte[] outcome, Verdict verdict, String detail) implements ResourceMessage {}

    /**
     * Tells the voters that the entries of a failure domain have started and remember nothing.
     *
     * @param domain the failure domain
     * @param boots the boots of all its entries; empty to ask only
     */
    record FormDomain(FailureDomainId domain, List<String> boots) implements ResourceMessage {}

    /**
     * Says with which boots the failure domain was first formed.
     *
     * @param boots the boots; empty if no quorum of voters answered
     */
    record FormedDomain(List<String> boots) implements ResourceMessage {}

    /**
     * Asks the leader for the index that a read must wait for.
     *
     * @param askedAt the asker's clock
     */
    record ReadIndex(long askedAt) implements ResourceMessage {}

    /**
     * Answers the question for an index.
     *
     * @param index the index; zero if the asked voter does not lead
     */
    record ReadIndexReply(long index) implements ResourceMessage {}
}
