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

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/** The replication progress of all other voters, tracked by the leader. Not thread-safe. */
final class FollowerTracker {

    private static final DataFolder UNKNOWN_FOLDER = new DataFolder("", false);
    /** How long a learner may be unresponsive before another one can replace it. */
    private static final long LEARNER_TIMEOUT_MILLIS = 1_500;

    private final VoterSet voters;
    private final Map<InstanceId, FollowerProgress> followers = new HashMap<>();
    private InstanceId learner;

    FollowerTracker(VoterSet voters) {
        this.voters = voters;
    }

    /** Resets the progress at the start of a term; the other voters get one election timeout to reply. */
    void reset(long lastIndex, long now) {
        followers.clear();
        learner = null;
        refresh(lastIndex, now);
    }

    /** Adds and removes followers after a change of the voters. */
    void refresh(long lastIndex, long now) {
        if (learner != null && voters.contains(learner)) {
            learner = null;
        }
        followers.keySet().removeIf(id -> !voters.contains(id) && !id.equals(learner));
        for (InstanceId v : voters.others()) {
            add(v, lastIndex, now);
        }
    }

    /** Starts replication to a learner, which does not count towards a quorum; there is at most one. */
    void startLearner(InstanceId instance, long lastIndex, long now) {
        learner = instance;
        refresh(lastIndex, now);
        add(instance, lastIndex, now);
    }

    InstanceId learner() {
        return learner;
    }

    /**
     * Returns whether there is a responsive learner. Others wait until it has joined, so that learners do not displace
     * each other.
     */
    boolean hasActiveLearner(long now) {
        return learner != null && now - followers.get(learner).lastAckSentAt() < LEARNER_TIMEOUT_MILLIS;
    }

    private void add(InstanceId id, long lastIndex, long now) {
        followers.computeIfAbsent(id, i -> {
            FollowerProgress f = new FollowerProgress(lastIndex + 1);
            f.recordReply(UNKNOWN_FOLDER, now);
            return f;
        });
    }

    /** Returns all receivers of entries: the other voters and the learner. */
    Map<InstanceId, FollowerProgress> all() {
        return followers;
    }

    /** Returns the progress of a follower; null if it is not one. */
    FollowerProgress get(InstanceId voter) {
        return followers.get(voter);
    }

    /** Returns whether a quorum, including the leader, has replied to messages sent within a period. */
    boolean hasQuorumContact(long now, long withinMillis) {
        return voters.others().isEmpty() || now - quorumAckSentAt() < withinMillis;
    }

    /** Returns whether a quorum, including the leader, has replied to messages sent at or after a time. */
    boolean hasQuorumAckSince(long sentAt) {
        return voters.others().isEmpty() || quorumAckSentAt() >= sentAt;
    }

    /** Returns the latest send time whose messages a quorum has replied to. */
    private long quorumAckSentAt() {
        List<InstanceId> others = voters.others();
        long[] ackTimes = new long[others.size()];
        for (int i = 0; i < ackTimes.length; i++) {
            ackTimes[i] = followers.get(others.get(i)).lastAckSentAt();
        }
        Arrays.sort(ackTimes);
        return ackTimes[ackTimes.length - (voters.quorum() - 1)];
    }

    /** Returns the highest index that is stored by a quorum of admitted data folders. */
    long quorumMatchIndex(long ownLastIndex, LogAdmissions admissions) {
        List<InstanceId> others = voters.others();
        long[] matches = new long[others.size() + 1];
        matches[0] = ownLastIndex;
        for (int i = 1; i < matches.length; i++) {
            InstanceId id = others.get(i - 1);
            FollowerProgress f = followers.get(id);
            matches[i] = admissions.countsTowardQuorum(id, f.folder()) ? f.matchIndex() : 0;
        }
        Arrays.sort(matches);
        return matches[matches.length - voters.quorum()];
    }

    /**
     * Returns the voter that has been unresponsive for longest, if longer than the given time; null if there is none.
     */
    InstanceId longestSilentVoter(long now, long millis) {
        InstanceId found = null;
        long oldest = now - millis;
        for (InstanceId id : voters.others()) {
            long lastAck = followers.get(id).lastAckSentAt();
            if (lastAck < oldest) {
                oldest = lastAck;
                found = id;
            }
        }
        return found;
    }
}
