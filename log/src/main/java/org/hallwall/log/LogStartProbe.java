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
 * Knows whether all voters have just started. A voter that has started gives no vote for one election timeout, since a leader may
 * hold a lease by its answer from before. When all voters have started and none has heard a leader since, the old leader among
 * them, nobody can hold one, and the first election need not wait: after a loss of all power service rests no longer than it must.
 */
final class LogStartProbe {

    private final long startId;
    private final long probeMillis;
    private final RandomGenerator random;
    private final Set<InstanceId> others = new HashSet<>();
    private boolean over;
    private long probeAt;

    /**
     * Begins with a voter's start.
     *
     * @param now the clock in milliseconds; names this start of the voter
     * @param probeMillis how often it asks the others in the mean; zero if it never does
     * @param random draws the times between, so that voters that start together do not stand for election together
     */
    LogStartProbe(long now, long probeMillis, RandomGenerator random) {
        this.startId = now == 0 ? 1 : now;
        this.probeMillis = probeMillis;
        this.random = random;
        this.probeAt = probeMillis > 0 ? next(now) : now;
    }

    /** Ends it: the voter has heard a leader, or stands for election in the usual way. */
    void end() {
        over = true;
    }

    boolean isJustStarted() {
        return !over && probeMillis > 0;
    }

    /** Gives the name of this start, or zero if the voter has heard a leader since. */
    long startId() {
        return isJustStarted() ? startId : 0;
    }

    /** Says whether the others should be asked now. */
    boolean isDue(long now) {
        if (!isJustStarted() || now < probeAt) {
            return false;
        }
        probeAt = next(now);
        return true;
    }

    private long next(long now) {
        return now + probeMillis / 2 + random.nextLong(probeMillis);
    }

    /** Takes a voter's answer; an answer to an earlier start doesn't count. */
    void answered(InstanceId from, long toStart) {
        if (isJustStarted() && toStart == startId) {
            others.add(from);
        }
    }

    boolean hasAnsweredAll(Set<InstanceId> all) {
        return isJustStarted() && others.containsAll(all);
    }
}
