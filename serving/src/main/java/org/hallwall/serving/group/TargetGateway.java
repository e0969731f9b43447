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
package org.hallwall.serving.group;

import java.time.Duration;

import org.hallwall.serving.target.TargetRecord;
import reactor.core.publisher.Mono;

/** Sends the controller's orders and probes to targets; implemented by an adapter for their protocol. */
public interface TargetGateway {

    /**
     * Sends an order, unless the target is not available.
     *
     * @param target the target
     * @param order the order
     * @param fencingToken the controller's fencing token
     * @param timeout the response timeout
     * @return the outcome; never an error
     */
    Mono<OrderOutcome> sendOrder(TargetRecord target, TargetOrder order, long fencingToken, Duration timeout);

    /**
     * Probes a target, unless it is not available.
     *
     * @param target the target
     * @param timeout the response timeout
     * @return whether it answered; empty if it is not available and was not probed; never an error
     */
    Mono<Boolean> probe(TargetRecord target, Duration timeout);

    /**
     * Reads the report of an engine, unless it is not available.
     *
     * @param target the engine
     * @param timeout the response timeout
     * @return the report; empty if there is none, or another start of the engine answered; never an error
     */
    Mono<EngineReport> readReport(TargetRecord target, Duration timeout);
}
