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
package org.hallwall.serving.target;

import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.config.ConfigurationDelta;
import org.hallwall.serving.crash.CrashedTarget;
import org.hallwall.serving.crash.Exoneration;
import org.hallwall.serving.crash.Fingerprint;
import org.hallwall.serving.crash.SuspectUpdate;
import org.hallwall.serving.permit.LimitReport;
import org.hallwall.serving.permit.PermitDemand;
import org.hallwall.serving.permit.PermitGrant;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;

/** Messages between entries and control instances. */
public sealed interface FeedMessage extends PeerMessage {

    /**
     * Registers the message types.
     *
     * @param messageTypes the registry
     */
    static void register(PeerMessageTypes messageTypes) {
        messageTypes
                .register(60, Poll.class)
                .register(61, Changes.class)
                .register(62, MembersRequest.class)
                .register(63, Members.class)
                .register(64, StalledHead.class)
                .register(65, JoinRequest.class)
                .register(66, HeadCheckResult.class)
                .register(67, LoadReport.class)
                .register(68, LoadTotals.class)
                .register(69, SuspectCheckResult.class)
                .register(70, CrashReport.class)
                .register(71, CrashReportResult.class)
                .register(72, TrialRequest.class)
                .register(73, TrialAnswer.class)
                .register(74, PermitRequest.class)
                .register(75, Permits.class)
                .register(76, EntryStatus.class)
                .register(77, EntryList.class)
                .register(78, EndReport.class)
                .register(79, EndReportResult.class);
    }

    /**
     * Polls for changes; answered when there are any or the wait is over.
     *
     * @param boot the id of the feed that {@code after} refers to; a feed gets a new id when it restarts
     * @param after the number of the last change that the sender has
     * @param heardAfter the number of the last heartbeat that the sender has; negative to receive none
     * @param configurationVersion the version of the configuration that the sender has
     * @param waitMillis the maximum wait in milliseconds
     * @param streams the sender's streams in progress by model
     * @param suspectsVersion the version of the suspects that the sender has
     * @param configurationChecksum the checksum of the configuration that the sender has, to which a difference can be
     *     applied; zero to receive the whole
     * @param process the random id of the sender's process; null if the sender does not retry requests
     * @param openRetries the sender's retries that may still arrive at targets, by service; null for none
     * @param retryLeases the leases that the sender holds; null if it needs none
     */
    record Poll(
            String boot,
            long after,
            long heardAfter,
            long configurationVersion,
            long waitMillis,
            Map<String, Integer> streams,
            long suspectsVersion,
            long configurationChecksum,
            String process,
            Map<String, Integer> openRetries,
            RetryLeaseReport retryLeases)
            implements FeedMessage {}

    /**
     * Answers a poll.
     *
     * @param boot the id of the feed
     * @param next the number of the last change in this answer
     * @param records the targets that changed
     * @param lost all targets that the group controller of this instance considers dead, or null if unchanged
     * @param heardNext the number of the last heartbeat in this answer
     * @param heard the targets that sent a heartbeat, changed or not
     * @param configurationVersion the version of the configuration in force
     * @param configuration the compressed configuration if the receiver has an older one, or null
     * @param members the control instances
     * @param entries the number of entries that have polled recently
     * @param mostEntries the recent maximum number of entries; zero if unknown
     * @param suspects the changes of the suspects, or null if there are none
     * @param configurationDelta what changed since the receiver's configuration, instead of the whole, or null
     * @param inheritedRetries the retries of earlier processes of the receiver that may still arrive at targets, by service; null if
     *     unknown
     * @param retryLeases the answer of the leader to the reported leases; null from others
     */
    record Changes(
            String boot,
            long next,
            List<TargetRecord> records,
            List<InstanceId> lost,
            long heardNext,
            List<InstanceId> heard,
            long configurationVersion,
            byte[] configuration,
            List<ControlMember> members,
            int entries,
            int mostEntries,
            SuspectUpdate suspects,
            ConfigurationDelta configurationDelta,
            Map<String, Integer> inheritedRetries,
            RetryLeaseGrant retryLeases)
            implements FeedMessage {

        /**
         * Copies the answer with the parts that do not come from the feed.
         *
         * @param controlMembers the control instances
         * @param entryCount the number of entries that have polled recently
         * @param maxEntryCount the recent maximum number of entries, or zero
         * @param suspectUpdate the changes of the suspects, or null
         * @param inherited the retries of earlier processes of the receiver, or null
         * @param leases the answer to the reported leases, or null
         * @return the complete answer
         */
        public Changes with(
                List<ControlMember> controlMembers,
                int entryCount,
                int maxEntryCount,
                SuspectUpdate suspectUpdate,
                Map<String, Integer> inherited,
                RetryLeaseGrant leases) {
            return new Changes(
                    boot,
                    next,
                    records,
                    lost,
                    heardNext,
                    heard,
                    configurationVersion,
                    configuration,
                    controlMembers,
                    entryCount,
                    maxEntryCount,
                    suspectUpdate,
                    configurationDelta,
                    inherited,
                    leases);
        }

        /**
         * Copies the answer with the configuration.
         *
         * @param version the version of the configuration in force
         * @param compressed the compressed configuration, or null
         * @param delta the difference from the receiver's configuration, or null
         * @return the answer with the configuration
         */
        public Changes withConfiguration(long version, byte[] compressed, ConfigurationDelta delta) {
            return new Changes(
                    boot,
                    next,
                    records,
                    lost,
                    heardNext,
                    heard,
                    version,
                    compressed,
                    members,
                    entries,
                    mostEntries,
                    suspects,
                    delta,
                    inheritedRetries,
                    retryLeases);
        }

        /**
         * Returns whether the answer has a newer configuration, whole or as a difference.
         *
         * @return true if it has
         */
        public boolean hasConfiguration() {
            return configuration != null || configurationDelta != null;
        }
    }

    /**
     * What an entry reports with each poll.
     *
     * @param streams its streams in progress by model
     * @param process the random id of its process; null for an instance that does not retry requests
     * @param openRetries its retries that may still arrive at targets, by service
     * @param retryLeases the leases that it holds; null if it needs none
     */
    record EntryUsage(
            Map<String, Integer> streams,
            String process,
            Map<String, Integer> openRetries,
            RetryLeaseReport retryLeases) {

        /** The report of an instance that serves no requests. */
        public static final EntryUsage NONE = new EntryUsage(Map.of(), null, Map.of(), null);
    }

    /**
     * Requests the list of control instances.
     *
     * @param from the sender
     */
    record MembersRequest(InstanceId from) implements FeedMessage {}

    /**
     * Answers with the list of control instances.
     *
     * @param members the control instances; empty if unknown
     */
    record Members(List<ControlMember> members) implements FeedMessage {}

    /**
     * Requests to join as a voting control instance.
     *
     * @param from the sender
     */
    record JoinRequest(InstanceId from) implements FeedMessage {}

    /**
     * Reports a head whose streams have stalled and requests a check of its group.
     *
     * @param head the head
     * @param group the group's name
     * @param epoch the group's epoch
     */
    record StalledHead(InstanceId head, String group, long epoch) implements FeedMessage {}

    /**
     * Answers the report of a stalled head.
     *
     * @param group the group's name
     * @param liveness the result; {@link GroupLiveness#UNKNOWN} from an instance that does not control groups
     * @param suspects the members that did not answer the controller if {@link GroupLiveness#SUSPECTED}, else empty
     */
    record HeadCheckResult(String group, GroupLiveness liveness, List<InstanceId> suspects) implements FeedMessage {}

    /**
     * Reports to the group controller which suspected members an entry reaches; answered by a {@link HeadCheckResult}.
     *
     * @param group the group's name
     * @param reached the members that answered the entry
     * @param silent the members that did not
     */
    record SuspectCheckResult(String group, List<InstanceId> reached, List<InstanceId> silent) implements FeedMessage {}

    /**
     * Reports an entry's requests in progress and requests the totals of all entries.
     *
     * @param running the number of requests by target
     */
    record LoadReport(Map<String, Integer> running) implements FeedMessage {}

    /**
     * Answers a load report.
     *
     * @param controls whether the answering instance controls the groups; only that one keeps totals
     * @param running the requests in progress of all entries by target
     * @param limits the rate limits that targets have declared to any entry
     */
    record LoadTotals(boolean controls, Map<String, Integer> running, List<LimitReport> limits) implements FeedMessage {

        /** Replaces the missing limits of an earlier version by an empty list. */
        public LoadTotals {
            limits = limits == null ? List.of() : limits;
        }
    }

    /**
     * Requests permits for rate-limited targets.
     *
     * @param asks the requests by target
     */
    record PermitRequest(List<PermitDemand> asks) implements FeedMessage {}

    /**
     * Answers a request for permits.
     *
     * @param controls whether the answering instance controls the groups; only that one grants permits
     * @param grants the grants by target
     */
    record Permits(boolean controls, List<PermitGrant> grants) implements FeedMessage {}

    /**
     * Reports the status of an entry to the control instance that controls the groups; answered by an {@link EntryList}.
     *
     * @param failureDomain the failure domain of the entry
     * @param forwarding the address at which it accepts requests from other entries
     * @param available whether it reaches targets and accepts requests
     * @param unreachableTargets the number of targets that it cannot connect to
     * @param wantsEntries whether it requests the other available entries
     */
    record EntryStatus(
            String failureDomain,
            NetAddress forwarding,
            boolean available,
            int unreachableTargets,
            boolean wantsEntries)
            implements FeedMessage {}

    /**
     * Answers the status of an entry.
     *
     * @param controls whether the answering instance controls the groups; only that one keeps the status of entries
     * @param entries available entries, or an empty list if none was requested
     */
    record EntryList(boolean controls, List<AvailableEntry> entries) implements FeedMessage {

        /** Replaces a missing list by an empty one. */
        public EntryList {
            entries = entries == null ? List.of() : entries;
        }
    }

    /**
     * An entry that accepts requests from other entries.
     *
     * @param instance the entry
     * @param failureDomain its failure domain
     * @param forwarding the address at which it accepts them
     */
    record AvailableEntry(InstanceId instance, String failureDomain, NetAddress forwarding) {}

    /**
     * Reports crashed targets with the requests they were running, and suspects that a target has answered.
     *
     * @param ended the crashed targets
     * @param survived the answered suspects; only entries of earlier versions send them
     * @param exonerations answers to suspects
     */
    record CrashReport(List<CrashedTarget> ended, List<Fingerprint> survived, List<Exoneration> exonerations)
            implements FeedMessage {

        /** Reads reports of earlier versions. */
        public CrashReport {
            exonerations = exonerations == null ? List.of() : exonerations;
        }
    }

    /**
     * Answers a crash report.
     *
     * @param taken whether the report is committed; if not, the sender retries
     * @param version the version of the suspects that includes the report
     */
    record CrashReportResult(boolean taken, long version) implements FeedMessage {}

    /**
     * Reports the end of a target to the leader, which commits it.
     *
     * @param end the end
     */
    record EndReport(TargetEnd end) implements FeedMessage {}

    /**
     * Answers the report of an end.
     *
     * @param committed whether it is committed; if not, the target may ask again
     */
    record EndReportResult(boolean committed) implements FeedMessage {}

    /**
     * Requests a trial of a held request.
     *
     * @param digest the request
     */
    record TrialRequest(Fingerprint digest) implements FeedMessage {}

    /**
     * Answers a request for a trial.
     *
     * @param leads whether the answering instance is the leader; only the leader decides
     * @param granted whether the request may be sent to one target, once
     * @param againMillis the time until the next trial may be requested, in milliseconds
     */
    record TrialAnswer(boolean leads, boolean granted, long againMillis) implements FeedMessage {}

    /**
     * A control instance.
     *
     * @param instance its id as a voter
     * @param peer the address for peer messages
     * @param api the address of the operator API
     */
    record ControlMember(InstanceId instance, NetAddress peer, NetAddress api) {}
}
