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
import org.hallwall.serving.crash.EndedTarget;
import org.hallwall.serving.crash.RequestDigest;
import org.hallwall.serving.crash.SuspectNews;
import org.hallwall.serving.permit.LimitReport;
import org.hallwall.serving.permit.PermitAsk;
import org.hallwall.serving.permit.PermitGrant;
import org.hallwall.wire.PeerKinds;
import org.hallwall.wire.PeerMessage;

/** Messages between entries and control instances. */
public sealed interface FeedMessage extends PeerMessage {

    /**
     * Registers the kinds of message.
     *
     * @param kinds where to register them
     */
    static void register(PeerKinds kinds) {
        kinds.add(60, Poll.class)
                .add(61, News.class)
                .add(62, MembersQuestion.class)
                .add(63, Members.class)
                .add(64, StalledHead.class)
                .add(65, JoinRequest.class)
                .add(66, HeadFinding.class)
                .add(67, LoadReport.class)
                .add(68, LoadSums.class)
                .add(69, SuspectFinding.class)
                .add(70, CrashReport.class)
                .add(71, CrashReportTaken.class)
                .add(72, TrialQuestion.class)
                .add(73, TrialAnswer.class)
                .add(74, PermitRequest.class)
                .add(75, Permits.class);
    }

    /**
     * Asks for news; it is answered when there are some or the wait is over.
     *
     * @param boot the feed's start that {@code after} belongs to
     * @param after the last change that the asker has
     * @param heardAfter the last heartbeat that the asker has; negative if it wants none
     * @param configurationVersion the version that the asker has
     * @param waitMillis the longest wait, in milliseconds
     * @param streams the asker's streams in progress by model
     * @param suspectsVersion the version of the suspects that the asker has
     */
    record Poll(
            String boot,
            long after,
            long heardAfter,
            long configurationVersion,
            long waitMillis,
            Map<String, Integer> streams,
            long suspectsVersion)
            implements FeedMessage {}

    /**
     * Answers a poll.
     *
     * @param boot the feed's start
     * @param next the last change that this answer covers
     * @param records the targets that changed
     * @param lost all targets that the group controller of this instance holds for dead, or null if that has not changed
     * @param heardNext the last heartbeat that this answer covers
     * @param heard the targets that were heard, whether they changed or not
     * @param configurationVersion the version in force here
     * @param configuration the compressed configuration if the asker has an older one, or null
     * @param members the control instances
     * @param entries how many entries have asked lately
     * @param mostEntries the most entries that there were lately; zero if this instance cannot know yet
     * @param suspects the changes of the suspects, or null if there are none
     */
    record News(
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
            SuspectNews suspects)
            implements FeedMessage {

        /**
         * Completes an answer.
         *
         * @param version the version in force here
         * @param packed the compressed configuration, or null
         * @param all the control instances
         * @param asking how many entries have asked lately
         * @param most the most entries that there were lately, or zero
         * @param crashing the changes of the suspects, or null
         * @return the whole answer
         */
        public News with(
                long version, byte[] packed, List<ControlMember> all, int asking, int most, SuspectNews crashing) {
            return new News(boot, next, records, lost, heardNext, heard, version, packed, all, asking, most, crashing);
        }
    }

    /**
     * Asks for the list of control instances.
     *
     * @param from the asker
     */
    record MembersQuestion(InstanceId from) implements FeedMessage {}

    /**
     * Answers with the list of control instances.
     *
     * @param members the members; empty if this instance doesn't know them
     */
    record Members(List<ControlMember> members) implements FeedMessage {}

    /**
     * Asks to become a control instance that counts.
     *
     * @param from the asker
     */
    record JoinRequest(InstanceId from) implements FeedMessage {}

    /**
     * Reports a head whose streams stand still and asks whether its group has lost a member.
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
     * @param liveness what the group controller found; unknown from an instance that does not control groups
     * @param suspects the members that did not answer the controller; empty unless some are suspected
     */
    record HeadFinding(String group, GroupLiveness liveness, List<InstanceId> suspects) implements FeedMessage {}

    /**
     * Tells the group controller whether an entry reaches the members that it suspects; answered by a {@link HeadFinding}.
     *
     * @param group the group's name
     * @param reached those that answered the entry
     * @param silent those that did not
     */
    record SuspectFinding(String group, List<InstanceId> reached, List<InstanceId> silent) implements FeedMessage {}

    /**
     * Reports an entry's requests in progress and asks for those of all entries.
     *
     * @param running how many by target
     */
    record LoadReport(Map<String, Integer> running) implements FeedMessage {}

    /**
     * Answers a load report.
     *
     * @param controls whether the answering instance controls the groups; only that one keeps sums
     * @param running the requests in progress of all entries by target
     * @param limits the rate limits that targets have named to any entry
     */
    record LoadSums(boolean controls, Map<String, Integer> running, List<LimitReport> limits) implements FeedMessage {

        /** Takes the sums of an instance of an earlier version, which tells no limits, for those of a fleet without limits. */
        public LoadSums {
            limits = limits == null ? List.of() : limits;
        }
    }

    /**
     * Asks for permits to send requests to targets with a rate limit.
     *
     * @param asks what the entry knows and wants, by target
     */
    record PermitRequest(List<PermitAsk> asks) implements FeedMessage {}

    /**
     * Answers a request for permits.
     *
     * @param controls whether the answering instance controls the groups; only that one keeps accounts
     * @param grants what the entry gets, by target
     */
    record Permits(boolean controls, List<PermitGrant> grants) implements FeedMessage {}

    /**
     * Reports targets that have ended with what they ran, and suspects that a target has answered.
     *
     * @param ended the targets
     * @param survived the suspects
     */
    record CrashReport(List<EndedTarget> ended, List<RequestDigest> survived) implements FeedMessage {}

    /**
     * Answers a report of ended targets.
     *
     * @param taken whether it lasts; if not, the asker keeps it and asks again
     * @param version the version of the suspects that holds it
     */
    record CrashReportTaken(boolean taken, long version) implements FeedMessage {}

    /**
     * Asks whether a request that is held back may be tried.
     *
     * @param digest the request
     */
    record TrialQuestion(RequestDigest digest) implements FeedMessage {}

    /**
     * Answers whether a request that is held back may be tried.
     *
     * @param leads whether the answering instance leads; only that one decides
     * @param granted whether the asker may send it to one target, once
     * @param againMillis when it may be asked again, in milliseconds
     */
    record TrialAnswer(boolean leads, boolean granted, long againMillis) implements FeedMessage {}

    /**
     * A control instance.
     *
     * @param instance its name among the voters
     * @param peer where it takes peer messages
     * @param api where it takes the operator's calls
     */
    record ControlMember(InstanceId instance, NetAddress peer, NetAddress api) {}
}
