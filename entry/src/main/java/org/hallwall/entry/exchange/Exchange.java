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
 * The state of one request while it passes the filters, the queue and its attempts.
 *
 * <p>Filters add the workspace and the route. Not thread-safe, except for {@link #isDispatched()}.
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
     * @param chat the chat completion request; null for a service request
     * @param repeatable whether the request may run more than once
     * @param receivedAt the time of arrival, by the monotonic clock
     * @param deadlineMillis the time from arrival to the deadline, in milliseconds
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
     * Returns the id of the request.
     *
     * @return the id
     */
    public RequestId requestId() {
        return requestId;
    }

    /**
     * Returns the headers.
     *
     * @return the headers
     */
    public RequestHeaders headers() {
        return headers;
    }

    /**
     * Returns the chat completion request.
     *
     * @return the request; null for a service request
     */
    public ChatRequest chat() {
        return chat;
    }

    /**
     * Returns the time of arrival.
     *
     * @return milliseconds of the monotonic clock
     */
    public long receivedAt() {
        return receivedAt;
    }

    /**
     * Returns the deadline.
     *
     * @return milliseconds of the monotonic clock
     */
    public long deadlineAt() {
        return deadlineAt;
    }

    /**
     * Returns whether the request may run more than once.
     *
     * @return true if it is repeatable
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
    public void setWorkspace(WorkspaceId id, WorkspaceSpec spec) {
        this.workspace = id;
        this.workspaceSpec = spec;
    }

    /**
     * Returns the workspace.
     *
     * @return the workspace
     */
    public WorkspaceId workspace() {
        return workspace;
    }

    /**
     * Returns the declaration of the workspace.
     *
     * @return the declaration
     */
    public WorkspaceSpec workspaceSpec() {
        return workspaceSpec;
    }

    /**
     * Sets the route of the request.
     *
     * @param id the model group
     * @param adapterName the adapter; null for none
     */
    public void setRoute(ModelGroupId id, String adapterName) {
        this.modelGroup = id;
        this.adapter = adapterName;
    }

    /**
     * Returns the model group.
     *
     * @return the model group
     */
    public ModelGroupId modelGroup() {
        return modelGroup;
    }

    /**
     * Returns the adapter.
     *
     * @return the adapter; null for none
     */
    public String adapter() {
        return adapter;
    }

    /**
     * Records a failed attempt on a group.
     *
     * @param group the group that failed
     * @param attempt the verdict of the attempt
     */
    public void recordFailure(GroupId group, Verdict attempt) {
        failedGroups.add(group);
        recordVerdict(attempt);
    }

    /**
     * Combines the verdict of a failed attempt with those of earlier attempts.
     *
     * @param attempt the verdict
     */
    public void recordVerdict(Verdict attempt) {
        verdict = verdict.combineWith(attempt);
    }

    /**
     * Returns whether an attempt on a group has failed.
     *
     * @param group the group
     * @return true if at least one failed
     */
    public boolean hasFailedOn(GroupId group) {
        return failedGroups.contains(group);
    }

    /**
     * Returns the combined verdict of the attempts so far.
     *
     * @return the verdict; {@code NOT_RUN} before the first attempt
     */
    public Verdict verdict() {
        return verdict;
    }

    /** Marks the request as dispatched to a target or another entry. */
    public void markDispatched() {
        dispatched = true;
    }

    /**
     * Returns whether the request was dispatched.
     *
     * @return true after the first attempt started
     */
    public boolean isDispatched() {
        return dispatched;
    }
}
