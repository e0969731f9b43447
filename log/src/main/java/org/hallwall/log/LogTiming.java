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

/**
 * The timeouts of the log.
 *
 * @param electionTimeoutMillis the minimum election timeout; the maximum is twice as long
 * @param heartbeatIntervalMillis the interval between the leader's heartbeats
 * @param maxClockDriftPercent the maximum difference in rate between two clocks, in percent
 * @param coldStartProbeMillis the mean interval at which a voter that has just started queries whether the others
 *     have, too; zero disables these probes
 */
public record LogTiming(
        long electionTimeoutMillis, long heartbeatIntervalMillis, int maxClockDriftPercent, long coldStartProbeMillis) {

    /** The default timeouts. */
    public static final LogTiming DEFAULT = new LogTiming(800, 150, 5, 100);

    private static final int PERCENT = 100;

    /**
     * Returns the duration of the leader lease, which is shorter than the minimum election timeout by the maximum clock
     * drift.
     *
     * @return the duration in milliseconds
     */
    public long leaseMillis() {
        return electionTimeoutMillis * (PERCENT - maxClockDriftPercent) / PERCENT;
    }
}
