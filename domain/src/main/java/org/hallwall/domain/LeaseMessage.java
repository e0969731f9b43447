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

/** A message about the controller's lease. */
public sealed interface LeaseMessage extends PeerMessage {

    /**
     * A process that asks for the lease. After a restart it is another candidate, so that late messages of its earlier
     * life cannot speak for it.
     *
     * @param instance the process
     * @param boot a random number made when the process started
     */
    record Candidate(InstanceId instance, long boot) {}

    /**
     * Asks for the lease, or to renew it.
     *
     * @param candidate who asks
     * @param term the term; a new holder takes a higher one than any it knows
     * @param round numbers the rounds of the candidate
     */
    record Request(Candidate candidate, long term, long round) implements LeaseMessage {}

    /**
     * Answers a request.
     *
     * @param from who answers
     * @param candidate who asked
     * @param granted whether the lease is granted
     * @param term the highest term that the answerer knows
     * @param round the round asked in
     */
    record Reply(InstanceId from, Candidate candidate, boolean granted, long term, long round)
            implements LeaseMessage {}

    /**
     * Gives the lease back, or gives up the wish for it.
     *
     * @param holder who gives it back
     * @param round the last round that it asked in; a grant for a later round stays
     */
    record Release(Candidate holder, long round) implements LeaseMessage {}
}
