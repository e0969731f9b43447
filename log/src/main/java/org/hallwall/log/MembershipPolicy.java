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
 * Decides when voters are added and removed.
 *
 * <p>Every instance that requests it becomes a voter, up to a maximum, since targets and operators cannot use an instance that
 * is not a voter. An even-sized set tolerates no more failures than the next smaller odd one, but needs one more reply
 * to commit.
 */
final class MembershipPolicy {

    /** A smaller set does not tolerate any failure. */
    private static final int MIN_VOTERS = 3;
    /**
     * Larger sets only make commits slower; above the eight control instances of the largest fleet.
     */
    private static final int MAX_VOTERS = 9;
    /** How long a voter may be unresponsive before it can be removed; longer than a process restart. */
    private static final long REMOVAL_TIMEOUT_MILLIS = 3_000;
    /** How long a voter may be unresponsive before no more voters are added, since it may have to be removed. */
    private static final long UNRESPONSIVE_MILLIS = 1_000;

    private final int targetSize;
    private final VoterSet voters;
    private final FollowerTracker followers;
    private final LogAdmissions admissions;

    /** Sizes the set so that a quorum exceeds the number of tolerated disk failures. */
    MembershipPolicy(int toleratedDiskFailures, VoterSet voters, FollowerTracker followers, LogAdmissions admissions) {
        this.targetSize = Math.max(MIN_VOTERS, 2 * toleratedDiskFailures + 1);
        this.voters = voters;
        this.followers = followers;
        this.admissions = admissions;
    }

    /**
     * Returns the voters after the next change for a learner that has requested to join; null if no change is due.
     *
     * <p>The newcomer is added before an unresponsive voter is removed. A set below the target size would have no quorum
     * after the tolerated disk failures, and the lost folders could never be admitted again.
     */
    List<InstanceId> nextVoters(long now, InstanceId newcomer, long commit) {
        List<InstanceId> reduced = votersWithoutSurplus(now);
        if (reduced != null) {
            return reduced;
        }
        return hasCapacity(now, commit) && hasCaughtUp(newcomer, commit) ? voters.with(newcomer) : null;
    }

    private boolean hasCapacity(long now, long commit) {
        int size = voters.all().size();
        if (size < targetSize) {
            return true;
        }
        if (followers.longestSilentVoter(now, REMOVAL_TIMEOUT_MILLIS) != null) {
            // the newcomer and the healthy voters must be a quorum of the enlarged set until the silent one is removed
            return size == targetSize && healthyVoters(now, commit) + 1 > (size + 1) / 2;
        }
        return size < MAX_VOTERS && followers.longestSilentVoter(now, UNRESPONSIVE_MILLIS) == null;
    }

    /** Counts this voter and the other healthy ones. */
    private int healthyVoters(long now, long commit) {
        int healthy = 1;
        for (InstanceId id : voters.others()) {
            healthy += isHealthy(now, id, commit) ? 1 : 0;
        }
        return healthy;
    }

    /**
     * Returns the voters without an unresponsive one if there are more than the target size; null if no change is due.
     */
    List<InstanceId> votersWithoutSurplus(long now) {
        if (voters.all().size() <= targetSize) {
            return null;
        }
        InstanceId unresponsive = followers.longestSilentVoter(now, REMOVAL_TIMEOUT_MILLIS);
        return unresponsive == null ? null : voters.without(unresponsive);
    }

    /** Returns whether there are more voters than the tolerated disk failures need. */
    boolean exceedsTargetSize() {
        return voters.all().size() > targetSize;
    }

    /**
     * Returns the voters without one that stops as planned; null if those that remain have no quorum that responds and
     * holds all committed entries.
     */
    List<InstanceId> votersAfterLeave(long now, InstanceId leaving, long commit) {
        List<InstanceId> remaining = voters.without(leaving);
        int healthy = 1;
        for (InstanceId id : voters.others()) {
            if (!id.equals(leaving) && isHealthy(now, id, commit)) {
                healthy++;
            }
        }
        return healthy > remaining.size() / 2 ? remaining : null;
    }

    /** Returns the healthy voter with the longest log; null if there is none. */
    InstanceId successor(long now, long commit) {
        InstanceId found = null;
        for (InstanceId id : voters.others()) {
            boolean better = found == null
                    || followers.get(id).matchIndex() > followers.get(found).matchIndex();
            if (better && isHealthy(now, id, commit)) {
                found = id;
            }
        }
        return found;
    }

    private boolean isHealthy(long now, InstanceId id, long commit) {
        FollowerProgress f = followers.get(id);
        return now - f.lastAckSentAt() <= UNRESPONSIVE_MILLIS
                && admissions.countsTowardQuorum(id, f.folder())
                && f.matchIndex() >= commit;
    }

    private boolean hasCaughtUp(InstanceId newcomer, long commit) {
        FollowerProgress f = followers.get(newcomer);
        boolean reportsAdmission = f.folder() != null && f.folder().admitted();
        return reportsAdmission && admissions.isCommitted(newcomer, f.folder()) && f.matchIndex() >= commit;
    }
}
