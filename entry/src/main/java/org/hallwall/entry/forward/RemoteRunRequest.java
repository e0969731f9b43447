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
package org.hallwall.entry.forward;

import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.id.WorkspaceId;
import org.hallwall.entry.exchange.ChatRequest;
import org.hallwall.entry.exchange.RequestPriority;

/**
 * A request to run a chat completion on the groups of another failure domain.
 *
 * @param workspace the workspace
 * @param modelGroup the model group
 * @param adapter the name of the adapter; null for none
 * @param chat the chat completion request
 * @param priority its priority
 * @param repeatable whether it may run more than once
 * @param deadlineMillis the remaining time until the deadline of the caller, in milliseconds
 */
record RemoteRunRequest(
        WorkspaceId workspace,
        ModelGroupId modelGroup,
        String adapter,
        ChatRequest chat,
        RequestPriority priority,
        boolean repeatable,
        long deadlineMillis) {

    /** The path that accepts these requests, on the port for targets. */
    static final String PATH = "/entries/v1/runs";
}
