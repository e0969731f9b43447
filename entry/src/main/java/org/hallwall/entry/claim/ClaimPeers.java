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
package org.hallwall.entry.claim;

import java.time.Duration;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.hallwall.wire.PeerMessage;
import reactor.core.publisher.Mono;

/** The transport to the other entries of the failure domain. */
public interface ClaimPeers {

    /**
     * Returns the other entries of the failure domain.
     *
     * @return the ids of the entries, excluding this one
     */
    Set<InstanceId> otherEntries();

    /**
     * Sends a request to an entry and waits for its reply.
     *
     * @param to the receiving entry
     * @param message the request
     * @param timeout how long to wait for the reply
     * @return the reply, or an error if there is none in time
     */
    Mono<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout);
}
