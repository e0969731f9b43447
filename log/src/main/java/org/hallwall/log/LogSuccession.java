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

/** Decides how the voters change: who is added, and who makes room. */
final class LogSuccession {

    /** Fewer voters would survive no loss. */
    private static final int LEAST_VOTERS = 3;
    /** After this silence a voter may make room for another, in milliseconds: longer than a restart of a process. */
    private static final long SILENT_MILLIS = 3_000;
    /** While a voter has been silent for this long, none is added: it may be about to make room, in milliseconds. */
    private static final long DOUBTFUL_MILLIS = 1_000;

    private final int usualVoters;
    private final LogVoters voters;
    private final LogFollowers followers;
    private final LogAdmissions admissions;

    /** The usual number is that of the first voters, made odd: an even set survives no more losses than the odd one below it. */
    LogSuccession(int firstVoters, LogVoters voters, LogFollowers followers, LogAdmissions admissions) {
        this.usualVoters = Math.max(LEAST_VOTERS, firstVoters - 1 | 1);
        this.voters = voters;
        this.followers = followers;
        this.admissions = admissions;
    }

    /** Gives the voters after the next change for a newcomer that learns the log; null if there is none now. */
    List<InstanceId> replacing(long now, InstanceId newcomer, long commit) {
        InstanceId silent = followers.silentFor(now, SILENT_MILLIS);
        if (silent != null && voters.all().size() >= usualVoters) {
            return voters.without(silent);
        }
        boolean allAnswer = followers.silentFor(now, DOUBTFUL_MILLIS) == null;
        boolean room = voters.all().size() <= usualVoters;
        return room && allAnswer && hasLearnt(newcomer, commit) ? voters.with(newcomer) : null;
    }

    /** Gives the voters without a silent one if there are more than usual; null if nothing is to change. */
    List<InstanceId> withoutSurplus(long now) {
        if (voters.all().size() <= usualVoters) {
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
