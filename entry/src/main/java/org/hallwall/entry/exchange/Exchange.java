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
package org.hallwall.entry.exchange;

import java.util.HashSet;
import java.util.Set;
import java.util.UUID;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.id.RequestId;
import org.hallwall.core.id.WorkspaceId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.resource.WorkspaceSpec;

/**
 * One request of a caller on its way through the filters.
 *
 * <p>Each filter fills in what it finds out. It is used by one thread at a time.
 */
public final class Exchange {

    private final RequestId requestId = new RequestId(UUID.randomUUID().toString());
    private final RequestHeaders headers;
    private final ChatRequest chat;
    private final long receivedAt;
    private final long deadlineAt;
    private final boolean repeatable;
    private final Set<GroupId> failedGroups = new HashSet<>();
    private WorkspaceId workspace;
    private WorkspaceSpec workspaceSpec;
    private ModelGroupId modelGroup;
    private String adapter;
    private Verdict verdict = Verdict.NOT_RUN;
    private volatile boolean dispatched;

    /**
     * Creates the exchange.
     *
     * @param headers the headers
     * @param chat the body; null for a call of a plain service
     * @param repeatable whether the request may run more than once
     * @param receivedAt the clock
     * @param deadlineMillis how long the caller waits
     */
    public Exchange(
            RequestHeaders headers, ChatRequest chat, boolean repeatable, long receivedAt, long deadlineMillis) {
        this.headers = headers;
        this.chat = chat;
        this.repeatable = repeatable;
        this.receivedAt = receivedAt;
        this.deadlineAt = receivedAt + deadlineMillis;
    }

    /**
     * Gives the id of the request.
     *
     * @return the id
     */
    public RequestId requestId() {
        return requestId;
    }

    /**
     * Gives the headers.
     *
     * @return the headers
     */
    public RequestHeaders headers() {
        return headers;
    }

    /**
     * Gives the body of a chat completion request.
     *
     * @return the body; null for a call of a plain service
     */
    public ChatRequest chat() {
        return chat;
    }

    /**
     * Gives the time of arrival.
     *
     * @return the clock
     */
    public long receivedAt() {
        return receivedAt;
    }

    /**
     * Gives the deadline.
     *
     * @return the clock
     */
    public long deadlineAt() {
        return deadlineAt;
    }

    /**
     * Says whether the request may run more than once.
     *
     * @return true if it may
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Sets the workspace.
     *
     * @param id the workspace
     * @param spec its declaration
     */
    public void belongsTo(WorkspaceId id, WorkspaceSpec spec) {
        this.workspace = id;
        this.workspaceSpec = spec;
    }

    /**
     * Gives the workspace.
     *
     * @return the workspace
     */
    public WorkspaceId workspace() {
        return workspace;
    }

    /**
     * Gives the declaration of the workspace.
     *
     * @return the declaration
     */
    public WorkspaceSpec workspaceSpec() {
        return workspaceSpec;
    }

    /**
     * Sets where the request is routed.
     *
     * @param id the model group
     * @param adapterName the adapter; null for none
     */
    public void routedTo(ModelGroupId id, String adapterName) {
        this.modelGroup = id;
        this.adapter = adapterName;
    }

    /**
     * Gives the model group.
     *
     * @return the model group
     */
    public ModelGroupId modelGroup() {
        return modelGroup;
    }

    /**
     * Gives the adapter.
     *
     * @return the adapter; null for none
     */
    public String adapter() {
        return adapter;
    }

    /**
     * Notes a failed attempt.
     *
     * @param group the group that failed
     * @param attempt the verdict of the attempt
     */
    public void failedOn(GroupId group, Verdict attempt) {
        failedGroups.add(group);
        attempted(attempt);
    }

    /**
     * Adds the verdict of a failed attempt.
     *
     * @param attempt the verdict
     */
    public void attempted(Verdict attempt) {
        verdict = verdict.and(attempt);
    }

    /**
     * Says whether an attempt on a group has failed.
     *
     * @param group the group
     * @return true if one has
     */
    public boolean hasFailedOn(GroupId group) {
        return failedGroups.contains(group);
    }

    /**
     * Gives the verdict of the attempts so far.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /** Notes that an attempt has been made. */
    public void markDispatched() {
        dispatched = true;
    }

    /**
     * Says whether an attempt has been made.
     *
     * @return true if one has
     */
    public boolean isDispatched() {
        return dispatched;
    }
}
