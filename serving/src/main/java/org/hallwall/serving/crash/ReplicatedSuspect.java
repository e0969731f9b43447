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
import java.util.Collections;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.hallwall.core.id.InstanceId;

/**
 * The replicated state of one suspect. Times are milliseconds since the epoch by the leaders' clocks.
 *
 * @param digest the request or prompt part
 * @param targets the starts of the targets that crashed while running it
 * @param held whether it is held back
 * @param trials the number of trials since it is held back
 * @param nextTrialAt the earliest time of the next trial; {@link #NEVER} if there is none
 * @param seenAt the time of its last crash or retry
 * @param version the version of the state that last changed it
 * @param begun those of the targets that had just begun to write a response to it
 * @param established those of the targets that had written a part of a response to it
 * @param proven whether targets have answered it before the first of the crashes
 * @param crashVersions the version of the state at which each of the targets was added
 */
record ReplicatedSuspect(
        Fingerprint digest,
        List<InstanceId> targets,
        boolean held,
        int trials,
        long nextTrialAt,
        long seenAt,
        long version,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<InstanceId> begun,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<InstanceId> established,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean proven,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Long> crashVersions) {

    static final long NEVER = Long.MAX_VALUE;

    private static final long MINUTE_MILLIS = 60_000;
    private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

    /**
     * The delays before each trial, in milliseconds; every trial risks one target. The first releases a wrongly held
     * request soon, the second allows for a fixed version of the targets. There is no third one, since the requests
     * that were sent while the suspect became known count as retries too.
     */
    private static final long[] TRIAL_DELAYS_MILLIS = {MINUTE_MILLIS, 2 * HOUR_MILLIS};

    /**
     * As {@link #TRIAL_DELAYS_MILLIS}, for what targets answered before. Most requests may share such a prompt part, and while all targets
     * are down no answer can clear it.
     */
    private static final long[] PROVEN_TRIAL_DELAYS_MILLIS = {10_000, MINUTE_MILLIS, 2 * HOUR_MILLIS};

    /** Bounds the state; crashes beyond it are not attributed to the suspect. */
    private static final int MAX_TARGETS = 64;

    /** Reads suspects without the progress of responses or the versions of crashes, as earlier versions store them. */
    ReplicatedSuspect {
        begun = begun == null ? List.of() : begun;
        established = established == null ? List.of() : established;
        crashVersions = crashVersions == null ? List.of() : crashVersions;
    }

    /** Returns the version of each crash; that of the last change if earlier versions have stored the suspect without them. */
    private List<Long> versionsOfCrashes() {
        return crashVersions.size() == targets.size() ? crashVersions : Collections.nCopies(targets.size(), version);
    }

    /** Returns whether some crash was known at a version of the state. */
    boolean hasCrashUntil(long known) {
        return versionsOfCrashes().stream().anyMatch(v -> v <= known);
    }

    static ReplicatedSuspect create(Fingerprint digest, long at) {
        return new ReplicatedSuspect(digest, List.of(), false, 0, NEVER, at, 0, List.of(), List.of(), false, List.of());
    }

    /** Returns whether a report adds nothing to what is known of the crash of a target. */
    boolean covers(CrashedTarget crash) {
        return targets.contains(crash.target())
                && (begun.contains(crash.target()) || !crash.begun().contains(digest))
                && (proven || !crash.proven().contains(digest));
    }

    ReplicatedSuspect withCrash(CrashedTarget crash, long at, long newVersion) {
        InstanceId target = crash.target();
        List<InstanceId> newTargets = add(targets, target);
        List<Long> newVersions = new ArrayList<>(versionsOfCrashes());
        if (newTargets.size() > targets.size()) {
            newVersions.add(newVersion);
        }
        return new ReplicatedSuspect(
                digest,
                newTargets,
                held,
                trials,
                nextTrialAt,
                at,
                newVersion,
                crash.begun().contains(digest) ? add(begun, target) : begun,
                crash.established().contains(digest) ? add(established, target) : established,
                proven || crash.proven().contains(digest),
                List.copyOf(newVersions));
    }

    /** Drops the crashes that were known at a version of the state, and the hold if too few are left. */
    ReplicatedSuspect withoutCrashesUntil(long known, int holdThreshold, long newVersion) {
        List<Long> versions = versionsOfCrashes();
        List<InstanceId> kept = new ArrayList<>();
        List<Long> keptVersions = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            if (versions.get(i) > known) {
                kept.add(targets.get(i));
                keptVersions.add(versions.get(i));
            }
        }
        return new ReplicatedSuspect(
                digest,
                List.copyOf(kept),
                held && kept.size() >= holdThreshold,
                trials,
                nextTrialAt,
                seenAt,
                newVersion,
                begun.stream().filter(kept::contains).toList(),
                established.stream().filter(kept::contains).toList(),
                true,
                List.copyOf(keptVersions));
    }

    /** Returns whether the crash of a target is evidence against this suspect even if the target had begun to write another response. */
    boolean isCloseTo(InstanceId target) {
        return begun.contains(target) || digest.kind() == Fingerprint.Kind.REQUEST && !established.contains(target);
    }

    private static List<InstanceId> add(List<InstanceId> targets, InstanceId target) {
        if (targets.contains(target) || targets.size() >= MAX_TARGETS) {
            return targets;
        }
        List<InstanceId> all = new ArrayList<>(targets);
        all.add(target);
        return List.copyOf(all);
    }

    ReplicatedSuspect withHold(long at, long newVersion) {
        return new ReplicatedSuspect(
                digest,
                targets,
                true,
                0,
                at + trialDelays()[0],
                at,
                newVersion,
                begun,
                established,
                proven,
                crashVersions);
    }

    ReplicatedSuspect withoutHold(long newVersion) {
        return new ReplicatedSuspect(
                digest, targets, false, 0, NEVER, seenAt, newVersion, begun, established, proven, crashVersions);
    }

    /** Records a retry by a caller, which counts as a trial if one is due. */
    ReplicatedSuspect withRetry(long at) {
        int trialsNow = trials;
        long next = nextTrialAt;
        if (isTrialDue(at)) {
            trialsNow = trials + 1;
            next = trialsNow < trialDelays().length ? at + trialDelays()[trialsNow] : NEVER;
        }
        return new ReplicatedSuspect(
                digest, targets, held, trialsNow, next, at, version, begun, established, proven, crashVersions);
    }

    private long[] trialDelays() {
        return proven ? PROVEN_TRIAL_DELAYS_MILLIS : TRIAL_DELAYS_MILLIS;
    }

    boolean isTrialDue(long at) {
        return held && at >= nextTrialAt;
    }

    Suspect toSuspect() {
        return new Suspect(digest, targets, held, proven);
    }
}
