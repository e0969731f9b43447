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

import java.util.List;

import org.hallwall.core.id.InstanceId;
import reactor.core.publisher.Mono;

/** The targets and the control plane as {@link CrashWatch} uses them. */
public interface CrashPeers {

    /**
     * Probes whether a target answers.
     *
     * @param target the target's start
     * @return true if it answers; never an error
     */
    Mono<Boolean> isResponding(InstanceId target);

    /**
     * Probes whether a target's address refuses connections. Unlike a timeout, a refusal is not caused by the network or by load.
     *
     * @param target the target's start
     * @return true only if the address refuses a connection and the target has not announced its shutdown; never an error
     */
    Mono<Boolean> refusesConnections(InstanceId target);

    /**
     * Checks whether this entry can connect to other targets of the same failure domain.
     *
     * @param target the target's start
     * @return false if there are such targets and none accepts a connection; never fails
     */
    Mono<Boolean> reachesNeighbours(InstanceId target);

    /**
     * Returns whether a target has restarted without announcing its shutdown.
     *
     * @param target the target's start
     * @return true if a later start of the target is known
     */
    boolean hasRestarted(InstanceId target);

    /**
     * Reports crashes and answered suspects to the log.
     *
     * @param ended crashed targets and the requests that they were running
     * @param exonerations answers to suspects
     * @return the version of the suspects that includes the report; empty if it was not committed, never an error
     */
    Mono<Long> report(List<CrashedTarget> ended, List<Exoneration> exonerations);

    /**
     * Requests a trial of a held request.
     *
     * @param digest the request
     * @return the decision; empty if no control instance answers, never an error
     */
    Mono<TrialDecision> requestTrial(Fingerprint digest);

    /**
     * The decision on a trial.
     *
     * @param granted whether the request may be sent once
     * @param retryMillis the time until the next trial may be requested, in milliseconds
     */
    record TrialDecision(boolean granted, long retryMillis) {}
}
