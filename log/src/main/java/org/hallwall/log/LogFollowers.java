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

    private final List<InstanceId> others;
    private final int quorum;
    private final Map<InstanceId, LogFollower> followers = new HashMap<>();

    LogFollowers(List<InstanceId> others, int quorum) {
        this.others = others;
        this.quorum = quorum;
    }

    /** Begins a leader's term; the others get one election timeout to answer. */
    void reset(long lastIndex, long now) {
        followers.clear();
        for (InstanceId v : others) {
            LogFollower f = new LogFollower(lastIndex + 1);
            f.heard(UNKNOWN, now);
            followers.put(v, f);
        }
    }

    LogFollower get(InstanceId voter) {
        return followers.get(voter);
    }

    /** Says whether a quorum, the leader included, has answered what was sent within a time. */
    boolean haveAnswered(long now, long within) {
        if (others.isEmpty()) {
            return true;
        }
        long[] heard = new long[others.size()];
        int i = 0;
        for (LogFollower f : followers.values()) {
            heard[i++] = f.heardSentAt();
        }
        Arrays.sort(heard);
        return now - heard[heard.length - (quorum - 1)] < within;
    }

    /** Gives the highest index that a quorum of admitted folders holds. */
    long agreedIndex(long ownLast, LogAdmissions admissions) {
        long[] matches = new long[others.size() + 1];
        matches[0] = ownLast;
        int i = 1;
        for (Map.Entry<InstanceId, LogFollower> e : followers.entrySet()) {
            LogFollower f = e.getValue();
            matches[i++] = admissions.counts(e.getKey(), f.folder()) ? f.match() : 0;
        }
        Arrays.sort(matches);
        return matches[matches.length - quorum];
    }
}
