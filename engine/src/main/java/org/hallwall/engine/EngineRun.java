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
package org.hallwall.engine;

import org.hallwall.core.id.AttemptId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;

/**
 * A request to the first member of a group to start a run.
 *
 * @param attempt the identifier of the attempt; echoed in each frame
 * @param group the group known to the sender; the engine rejects the run if it belongs to another one
 * @param fencing the group's fencing number
 * @param adapter the adapter to use; null for none
 * @param prompt the complete prompt
 * @param maxTokens the maximum number of tokens to generate
 * @param priority the priority; runs with a higher value are scheduled first
 */
public record EngineRun(
        AttemptId attempt,
        GroupId group,
        FencingToken fencing,
        String adapter,
        String prompt,
        int maxTokens,
        int priority) {}
