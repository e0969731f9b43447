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
 * Names of the headers that the relay reads and sets.
 *
 * @param attemptId the client-assigned id of the attempt, echoed by the target
 * @param deadlineMillis the time that the client waits for the response, in milliseconds
 * @param expectedTarget the target instance that the request is meant for
 * @param workspace the workspace of the key
 * @param key the key of the client
 * @param notRun set by targets that have not run the request
 * @param model the requested model
 * @param lastEventId the last event that the client has received
 * @param leaving set by targets that are shutting down
 * @param answeredBy set by targets that reject a request, to their own name
 * @param promptParts the parts of the prompt, in order
 * @param rateLimit set by targets with a rate limit, to the requests per second that they accept from all entries
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
        String promptParts,
        String rateLimit) {}
