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
package org.hallwall.log;

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;

/** A message between two voters. */
public sealed interface LogMessage extends PeerMessage {

    /**
     * Returns the sender's term.
     *
     * @return the term
     */
    long term();

    /**
     * Returns the sender.
     *
     * @return the sender
     */
    InstanceId from();

    /**
     * Registers the message types.
     *
     * @param messageTypes the registry
     */
    static void register(PeerMessageTypes messageTypes) {
        messageTypes
                .register(10, VoteRequest.class)
                .register(11, VoteReply.class)
                .register(12, AppendRequest.class)
                .register(13, AppendReply.class)
                .register(14, SnapshotRequest.class)
                .register(15, LeaveRequest.class)
                .register(16, LeaveReply.class)
                .register(17, TransferRequest.class);
    }

    /**
     * Requests a vote or a pre-vote.
     *
     * @param term the term of the candidate; in a pre-vote, the term it would start
     * @param from the candidate
     * @param lastIndex the index of the last entry in its log
     * @param lastTerm the term of that entry
     * @param preVote whether this is a pre-vote
     * @param startId identifies this start of the candidate until it receives a message from a leader; zero afterwards
     * @param allJustStarted whether no voter has received a message from a leader since its start, so that no lease can exist
     * @param transfer whether the leader of the term before has stepped down in favour of the candidate, so that its
     *     lease has ended
     */
    record VoteRequest(
            long term,
            InstanceId from,
            long lastIndex,
            long lastTerm,
            boolean preVote,
            long startId,
            boolean allJustStarted,
            boolean transfer)
            implements LogMessage {}

    /**
     * Replies to a vote request.
     *
     * @param term the term of the voter; in a granted pre-vote, the requested term
     * @param from the voter
     * @param folder the voter's data folder
     * @param granted whether the vote is granted
     * @param preVote whether this is a pre-vote
     * @param startId the candidate's start id if this voter has not heard from a leader since its own start; zero
     *     otherwise
     */
    record VoteReply(long term, InstanceId from, DataFolder folder, boolean granted, boolean preVote, long startId)
            implements LogMessage {}

    /**
     * Replicates entries; serves as a heartbeat if there are none.
     *
     * @param term the leader's term
     * @param from the leader
     * @param prevIndex the index before the first entry
     * @param prevTerm the term of the entry at that index
     * @param entries the entries
     * @param commit the leader's commit index
     * @param sentAt the time of sending by the leader's clock, echoed in the reply
     */
    record AppendRequest(
            long term, InstanceId from, long prevIndex, long prevTerm, List<LogEntry> entries, long commit, long sentAt)
            implements LogMessage {}

    /**
     * Replies to an append or a snapshot request.
     *
     * @param term the follower's term
     * @param from the follower
     * @param folder the follower's data folder
     * @param accepted whether the log matched at the previous index
     * @param index if accepted, the last index known to match; otherwise the index after which to resume
     * @param sentAt the echoed time of sending
     */
    record AppendReply(long term, InstanceId from, DataFolder folder, boolean accepted, long index, long sentAt)
            implements LogMessage {}

    /**
     * Installs a snapshot on a follower.
     *
     * @param term the leader's term
     * @param from the leader
     * @param snapshot the snapshot
     * @param sentAt the time of sending by the leader's clock, echoed in the reply
     */
    record SnapshotRequest(long term, InstanceId from, LogSnapshot snapshot, long sentAt) implements LogMessage {}

    /**
     * Asks the leader to remove the sender from the voters, since its process is about to end.
     *
     * @param term the sender's term
     * @param from the sender
     */
    record LeaveRequest(long term, InstanceId from) implements LogMessage {}

    /**
     * Answers a request to leave once it is decided.
     *
     * @param term the leader's term
     * @param from the leader
     * @param status what has been decided
     */
    record LeaveReply(long term, InstanceId from, LeaveStatus status) implements LogMessage {}

    /**
     * Tells a voter to start an election at once, since the sender no longer leads.
     *
     * @param term the term that the sender has led
     * @param from the sender
     */
    record TransferRequest(long term, InstanceId from) implements LogMessage {}
}
