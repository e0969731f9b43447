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

/**
 * Decides how the voters change: who is added, and who makes room.
 *
 * <p>Every instance that asks becomes a voter, up to a bound: an instance that is none is of no use to targets and operators. A
 * set of even size survives no more losses than the odd one below it, and a commit needs one more answer.
 */
final class LogSuccession {

    /** Fewer voters would survive no loss. */
    private static final int LEAST_VOTERS = 3;
    /** More voters would only make a quorum slower; a design bound, above the eight control instances of today's largest fleet. */
    private static final int MOST_VOTERS = 9;
    /** After this silence a voter may make room for another, in milliseconds: longer than a restart of a process. */
    private static final long SILENT_MILLIS = 3_000;
    /** While a voter has been silent for this long, none is added: it may be about to make room, in milliseconds. */
    private static final long DOUBTFUL_MILLIS = 1_000;

    private final int enough;
    private final LogVoters voters;
    private final LogFollowers followers;
    private final LogAdmissions admissions;

    /** With enough voters a quorum of them is larger than the number of disks that may be lost at once. */
    LogSuccession(int disksLost, LogVoters voters, LogFollowers followers, LogAdmissions admissions) {
        this.enough = Math.max(LEAST_VOTERS, 2 * disksLost + 1);
        this.voters = voters;
        this.followers = followers;
        this.admissions = admissions;
    }

    /** Gives the voters after the next change for a newcomer that learns the log; null if there is none now. */
    List<InstanceId> replacing(long now, InstanceId newcomer, long commit) {
        int size = voters.all().size();
        InstanceId silent = followers.silentFor(now, SILENT_MILLIS);
        if (silent != null && size >= enough) {
            return voters.without(silent);
        }
        boolean allAnswer = followers.silentFor(now, DOUBTFUL_MILLIS) == null;
        boolean room = size < enough || (size < MOST_VOTERS && allAnswer);
        return room && hasLearnt(newcomer, commit) ? voters.with(newcomer) : null;
    }

    /** Gives the voters without a silent one if there are more than enough; null if nothing is to change. */
    List<InstanceId> withoutSurplus(long now) {
        if (voters.all().size() <= enough) {
            return null;
        }
        InstanceId silent = followers.silentFor(now, SILENT_MILLIS);
        return silent == null ? null : voters.without(silent);
    }

    private boolean hasLearnt(InstanceId newcomer, long commit) {
        LogFollower f = followers.get(newcomer);
        boolean knowsItself = f.folder() != null && f.folder().admitted();
        return knowsItself && admissions.isCommitted(newcomer, f.folder()) && f.match() >= commit;
    }
}
