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

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.hallwall.core.id.InstanceId;

/**
 * Detects that all voters have just started, for example after a power loss.
 *
 * <p>A voter that has just started grants no vote for one election timeout, since a leader may hold a lease that relies
 * on its earlier replies. If all voters have started and none has heard from a leader since, no lease can exist and the
 * first election need not wait.
 */
final class ColdStartDetector {

    private final long startId;
    private final long probeMillis;
    private final RandomGenerator random;
    private final Set<InstanceId> justStarted = new HashSet<>();
    private boolean stopped;
    private long nextProbeAt;

    /**
     * Creates the detector when a voter starts.
     *
     * @param now the clock in milliseconds; identifies this start of the voter
     * @param probeMillis the mean interval between probes; zero disables them
     * @param random randomizes the interval, so that voters that start together do not become candidates together
     */
    ColdStartDetector(long now, long probeMillis, RandomGenerator random) {
        this.startId = now == 0 ? 1 : now;
        this.probeMillis = probeMillis;
        this.random = random;
        this.nextProbeAt = probeMillis > 0 ? nextProbeTime(now) : now;
    }

    /** Stops the detection: the voter has heard from a leader or starts a regular election. */
    void stop() {
        stopped = true;
    }

    boolean isJustStarted() {
        return !stopped && probeMillis > 0;
    }

    /** Returns the id of this start, or zero once the voter has heard from a leader. */
    long startId() {
        return isJustStarted() ? startId : 0;
    }

    /** Returns whether a probe is due, and schedules the next one if so. */
    boolean isProbeDue(long now) {
        if (!isJustStarted() || now < nextProbeAt) {
            return false;
        }
        nextProbeAt = nextProbeTime(now);
        return true;
    }

    private long nextProbeTime(long now) {
        return now + probeMillis / 2 + random.nextLong(probeMillis);
    }

    /** Records the reply of a voter; replies to probes of an earlier start are ignored. */
    void recordAnswer(InstanceId from, long repliedStartId) {
        if (isJustStarted() && repliedStartId == startId) {
            justStarted.add(from);
        }
    }

    boolean haveAllJustStarted(Set<InstanceId> otherVoters) {
        return isJustStarted() && justStarted.containsAll(otherVoters);
    }
}
