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
package org.hallwall.domain;

import org.hallwall.core.id.InstanceId;
import org.hallwall.wire.PeerMessage;

/** A message of the election of the domain controller. */
public sealed interface LeaseMessage extends PeerMessage {

    /**
     * A process that requests the lease. A restarted process is a different candidate, so that delayed messages from
     * before the restart do not apply to it.
     *
     * @param instance the process
     * @param boot a random number generated at process start
     */
    record Candidate(InstanceId instance, long boot) {}

    /**
     * Requests the lease or its renewal.
     *
     * @param candidate the sender
     * @param term the term; a new candidate uses a term above the highest one it has observed
     * @param round the number of the candidate's request
     */
    record Request(Candidate candidate, long term, long round) implements LeaseMessage {}

    /**
     * Replies to a request.
     *
     * @param from the sender of the reply
     * @param candidate the candidate that sent the request
     * @param granted whether the lease is granted
     * @param term the highest term observed by the sender
     * @param round the round of the request
     */
    record Reply(InstanceId from, Candidate candidate, boolean granted, long term, long round)
            implements LeaseMessage {}

    /**
     * Releases the lease or abandons a request for it.
     *
     * @param holder the sender
     * @param round the last round of the sender; grants of later rounds stay valid
     */
    record Release(Candidate holder, long round) implements LeaseMessage {}
}
