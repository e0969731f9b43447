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
 * The components shared by all requests.
 *
 * @param state the active configuration and targets
 * @param candidates lists the targets that are available for a request
 * @param balancer selects a target
 * @param client sends requests to targets
 * @param retryBudget limits retries
 * @param forwardedHeaders copies the headers to forward
 * @param headerNames the header names
 * @param stalledHeads decides about heads whose streams have stalled
 * @param admission limits concurrent streams
 * @param streamMonitor checks active streams periodically
 * @param metrics the metrics
 * @param crashWatch blocks requests that crash targets
 * @param forwarder selects requests for other entries
 * @param shutdown decides which requests are accepted during the shutdown
 * @param ticker the clock
 */
public record RelayContext(
        EntryState state,
        CandidateTargets candidates,
        Balancer balancer,
        TargetClient client,
        RetryBudget retryBudget,
        ForwardedHeaders forwardedHeaders,
        HeaderNames headerNames,
        StalledHeads stalledHeads,
        AdmissionControl admission,
        StreamMonitor streamMonitor,
        RelayMetrics metrics,
        CrashWatch crashWatch,
        EntryForwarder forwarder,
        Shutdown shutdown,
        Ticker ticker) {

    /** Retry-After if no target is available, in milliseconds; about the time to repair a group. */
    static final long NO_TARGET_RETRY_AFTER_MILLIS = 250;
    /**
     * Retry-After if all groups are full, in milliseconds; about the duration of a stream, in which lost groups are
     * also formed again. Clients wait for at most a third of their remaining time.
     */
    static final long OVERLOAD_RETRY_AFTER_MILLIS = 1_200;

    /**
     * Returns the current time.
     *
     * @return the clock reading, in milliseconds
     */
    long now() {
        return ticker.millis();
    }
}
