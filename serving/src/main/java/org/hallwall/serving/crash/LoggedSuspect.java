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
package org.hallwall.serving.crash;

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.InstanceId;

/**
 * One suspect as the log holds it: the targets that ended under it, and once it is held back, its trials.
 *
 * <p>Times are milliseconds since 1970, by the leaders' clocks.
 *
 * @param digest the request
 * @param targets the starts of targets that have ended under it
 * @param held whether it is held back
 * @param trials how often it was tried since
 * @param nextTrialAt when it may be tried again; {@link #NEVER} if it may not
 * @param seenAt when it was last heard of
 * @param version the version of the state with its last change
 */
record LoggedSuspect(
        RequestDigest digest,
        List<InstanceId> targets,
        boolean held,
        int trials,
        long nextTrialAt,
        long seenAt,
        long version) {

    static final long NEVER = Long.MAX_VALUE;

    private static final long MINUTE_MILLIS = 60_000;
    private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

    /**
     * The pauses before each trial, in milliseconds. Each puts one target at stake; callers of a request that was held back wrongly wait a
     * minute. The second is for a new version of the targets, or whatever else has mended it. There is no third: what was sent elsewhere
     * while the request became known counts as a retry too.
     */
    private static final long[] TRIAL_PAUSES = {MINUTE_MILLIS, 2 * HOUR_MILLIS};

    /** Targets kept for each; more of them decide nothing. */
    private static final int MOST_TARGETS = 8;

    static LoggedSuspect unknown(RequestDigest digest, long at) {
        return new LoggedSuspect(digest, List.of(), false, 0, NEVER, at, 0);
    }

    LoggedSuspect endedUnder(InstanceId target, long at, long next) {
        List<InstanceId> all = new ArrayList<>(targets);
        if (!all.contains(target) && all.size() < MOST_TARGETS) {
            all.add(target);
        }
        return new LoggedSuspect(digest, all, held, trials, nextTrialAt, at, next);
    }

    LoggedSuspect hold(long at, long next) {
        return new LoggedSuspect(digest, targets, true, 0, at + TRIAL_PAUSES[0], at, next);
    }

    /** Notes that a caller has sent it again; it is tried if that is due. */
    LoggedSuspect sentAgain(long at) {
        if (!isTrialDue(at)) {
            return new LoggedSuspect(digest, targets, held, trials, nextTrialAt, at, version);
        }
        int tried = trials + 1;
        long later = tried < TRIAL_PAUSES.length ? at + TRIAL_PAUSES[tried] : NEVER;
        return new LoggedSuspect(digest, targets, held, tried, later, at, version);
    }

    boolean isTrialDue(long at) {
        return held && at >= nextTrialAt;
    }

    Suspect suspect() {
        return new Suspect(digest, targets, held);
    }
}
