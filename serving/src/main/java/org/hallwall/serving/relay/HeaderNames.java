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

/**
 * The names of the headers that the relay reads and sets; an adapter supplies them.
 *
 * @param attemptId the caller's id of this attempt; a target echoes it
 * @param deadlineMillis how long the caller will wait, in milliseconds
 * @param expectedTarget the only target that may run the request
 * @param workspace the workspace of the caller's key
 * @param key the caller's key
 * @param notRun set by a target that has not run the request
 * @param model the model that the request wants
 * @param lastEventId the last event that the caller has
 * @param leaving set by a target that is about to end
 * @param answeredBy set by a target that turns a request away, to its own name
 * @param rateLimit set by a target that limits its rate, to the requests a second that it takes from the whole system
 */
public record HeaderNames(
        String attemptId,
        String deadlineMillis,
        String expectedTarget,
        String workspace,
        String key,
        String notRun,
        String model,
        String lastEventId,
        String leaving,
        String answeredBy,
        String rateLimit) {}
