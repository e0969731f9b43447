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
package org.hallwall.serving.relay;

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.crash.CrashWatch;

/**
 * What the runs of requests share.
 *
 * @param state what the entry believes
 * @param candidates lists the targets that a request may go to now
 * @param balancer chooses among them
 * @param client speaks to targets
 * @param budget bounds repeats
 * @param headers copies headers
 * @param names the names of the headers
 * @param stalled judges heads whose streams stand still
 * @param admission bounds the streams in progress
 * @param watch looks at streams in progress
 * @param counters counts outcomes
 * @param crashes holds requests back that end targets
 * @param ticker the clock
 */
public record RelayContext(
        EntryState state,
        Candidates candidates,
        Balancer balancer,
        TargetClient client,
        RetryBudget budget,
        ForwardedHeaders headers,
        HeaderNames names,
        StalledHeads stalled,
        Admission admission,
        StreamWatch watch,
        RelayCounts counters,
        CrashWatch crashes,
        Ticker ticker) {

    /** When a caller retries whose request found no target, in milliseconds: about the time in which a group is repaired. */
    static final long RETRY_AFTER_MILLIS = 250;
    /**
     * When a caller retries whose request found all groups full, in milliseconds: a stream's life, and the time in which lost
     * groups are formed again. Callers wait up to a third of the time they have left.
     */
    static final long FULL_RETRY_AFTER_MILLIS = 1_200;

    /**
     * Gives the time.
     *
     * @return the clock in milliseconds
     */
    long now() {
        return ticker.millis();
    }
}
