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

/** Whom an entry asks and tells about requests that end targets. */
public interface CrashPeers {

    /**
     * Asks whether a target answers.
     *
     * @param target the start of the target
     * @return true if it does; never an error
     */
    Mono<Boolean> answers(InstanceId target);

    /**
     * Asks whether nothing listens any more where a target was; unlike silence, that is no matter of links or load.
     *
     * @param target the start of the target
     * @return true only if its address refuses a connection, and it has not said that it leaves; never an error
     */
    Mono<Boolean> refuses(InstanceId target);

    /**
     * Says whether a later start of a target is known.
     *
     * @param target the start of the target
     * @return true if this start is over without having said so
     */
    boolean hasStartedAgain(InstanceId target);

    /**
     * Takes to the log what was seen.
     *
     * @param ended targets that have ended, with what they ran
     * @param survived suspects that a target has answered
     * @return the version of the suspects that holds it; empty if it was not taken, never an error
     */
    Mono<Long> report(List<EndedTarget> ended, List<RequestDigest> survived);

    /**
     * Asks whether a request that is held back may be tried.
     *
     * @param digest the request
     * @return the answer; empty if there is none, never an error
     */
    Mono<Trial> mayTry(RequestDigest digest);

    /**
     * The answer whether a request may be tried.
     *
     * @param granted whether it may, once
     * @param againMillis when it may be asked again, in milliseconds
     */
    record Trial(boolean granted, long againMillis) {}
}
