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

/** What a leader knows of all other voters. Not safe for use by several threads. */
final class LogFollowers {

    private static final LogFolder UNKNOWN = new LogFolder("", false);
    /** After this silence a newcomer makes room for the next one, in milliseconds: a few of its requests. */
    private static final long LEARNER_MILLIS = 1_500;

    private final LogVoters voters;
    private final Map<InstanceId, LogFollower> followers = new HashMap<>();
    private InstanceId learner;

    LogFollowers(LogVoters voters) {
        this.voters = voters;
    }

    /** Begins a leader's term; the others get one election timeout to answer. */
    void reset(long lastIndex, long now) {
        followers.clear();
        learner = null;
        refresh(lastIndex, now);
    }

    /** Follows the voters that the log names now. */
    void refresh(long lastIndex, long now) {
        if (learner != null && voters.contains(learner)) {
            learner = null;
        }
        followers.keySet().removeIf(id -> !voters.contains(id) && !id.equals(learner));
        for (InstanceId v : voters.others()) {
            add(v, lastIndex, now);
        }
    }

    /** Begins to replicate to a newcomer that does not count yet; there is one at a time. */
    void learn(InstanceId newcomer, long lastIndex, long now) {
        learner = newcomer;
        refresh(lastIndex, now);
        add(newcomer, lastIndex, now);
    }

    InstanceId learner() {
        return learner;
    }

    /** Says whether there is a newcomer that answers: others wait until it counts, or several would displace each other. */
    boolean isLearning(long now) {
        return learner != null && now - followers.get(learner).heardSentAt() < LEARNER_MILLIS;
    }

    private void add(InstanceId id, long lastIndex, long now) {
        followers.computeIfAbsent(id, i -> {
            LogFollower f = new LogFollower(lastIndex + 1);
            f.heard(UNKNOWN, now);
            return f;
        });
    }

    /** Gives all that entries are sent to. */
    Map<InstanceId, LogFollower> all() {
        return followers;
    }

    /** Gives a follower's state; null if it is none. */
    LogFollower get(InstanceId voter) {
        return followers.get(voter);
    }

    /** Says whether a quorum, the leader included, has answered what was sent within a time. */
    boolean haveAnswered(long now, long within) {
        return voters.others().isEmpty() || now - answeredSentAt() < within;
    }

    /** Says whether a quorum, the leader included, has answered what was sent at a time or later. */
    boolean haveAnsweredSince(long sentAt) {
        return voters.others().isEmpty() || answeredSentAt() >= sentAt;
    }

    /** Gives when the last messages were sent that a quorum has answered. */
    private long answeredSentAt() {
        List<InstanceId> others = voters.others();
        long[] heard = new long[others.size()];
        for (int i = 0; i < heard.length; i++) {
            heard[i] = followers.get(others.get(i)).heardSentAt();
        }
        Arrays.sort(heard);
        return heard[heard.length - (voters.quorum() - 1)];
    }

    /** Gives the highest index that a quorum of admitted folders holds. */
    long agreedIndex(long ownLast, LogAdmissions admissions) {
        List<InstanceId> others = voters.others();
        long[] matches = new long[others.size() + 1];
        matches[0] = ownLast;
        for (int i = 1; i < matches.length; i++) {
            InstanceId id = others.get(i - 1);
            LogFollower f = followers.get(id);
            matches[i] = admissions.counts(id, f.folder()) ? f.match() : 0;
        }
        Arrays.sort(matches);
        return matches[matches.length - voters.quorum()];
    }

    /** Finds the voter that has been silent longest, if that is longer than a time; null if none has. */
    InstanceId silentFor(long now, long millis) {
        InstanceId found = null;
        long oldest = now - millis;
        for (InstanceId id : voters.others()) {
            long heard = followers.get(id).heardSentAt();
            if (heard < oldest) {
                oldest = heard;
                found = id;
            }
        }
        return found;
    }
}
