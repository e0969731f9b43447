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

import org.hallwall.serving.crash.ResponseProgress;
import reactor.core.publisher.Flux;

/** The recipient of an attempt: a target, or another entry that sends the request to a target. */
interface NextHop {

    /** Returns the target, or the address of the entry in the form of a target without a group. */
    ServingTarget target();

    /** Returns the recent outcomes at this recipient. */
    TargetState state();

    /** Returns the connection on which the attempt is sent. */
    AttemptConnection connection();

    /** Returns whether the recipient is an entry. */
    boolean isEntry();

    /** Returns whether the recipient is an entry that has responded with the history of the request. */
    boolean hasReport();

    /**
     * Returns the history of the request after this attempt has failed.
     *
     * @param before the history before the attempt
     * @param f the failure
     * @param progress how much of the response the recipient had sent
     * @return the history with the targets that the attempt has reached
     */
    RequestHistory historyAfter(RequestHistory before, AttemptFailure f, ResponseProgress progress);

    /**
     * Sends one attempt.
     *
     * @param request the request
     * @param lastEventId the last event that the client has received, or null
     * @param history the attempts before
     * @param reader reads the response
     * @param <T> the type of the result
     * @return the result, or an {@link AttemptFailure}
     */
    <T> Flux<T> send(
            RelayRequest request, String lastEventId, RequestHistory history, TargetClient.ResponseReader<T> reader);
}
