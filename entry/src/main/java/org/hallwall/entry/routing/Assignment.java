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
package org.hallwall.entry.routing;

import java.util.concurrent.atomic.AtomicBoolean;

import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.settings.NetAddress;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The assignment of a request to a group. Must be released when the run completes, fails or is cancelled. */
public final class Assignment {

    private final GroupRoutingState state;
    private final Dispatcher dispatcher;
    private final NetAddress head;
    private final FencingToken fencing;
    private final AtomicBoolean released = new AtomicBoolean();
    private final Sinks.Empty<Void> suspectSignal = Sinks.empty();
    private final Sinks.Empty<Void> lostSignal = Sinks.empty();

    Assignment(GroupRoutingState state, Dispatcher dispatcher) {
        this.state = state;
        this.dispatcher = dispatcher;
        this.head = state.view().head().announcement().address();
        this.fencing = state.view().membership().fencing();
        state.addAssignment(this);
    }

    /**
     * Returns the assigned group.
     *
     * @return the id of the group
     */
    public GroupId group() {
        return state.group();
    }

    /**
     * Returns the fencing number that the group had when it was assigned.
     *
     * @return the fencing number
     */
    public FencingToken fencing() {
        return fencing;
    }

    /**
     * Returns the address of the head of the group.
     *
     * @return the address
     */
    public NetAddress head() {
        return head;
    }

    /**
     * Returns whether the group is complete according to the latest announcements.
     *
     * @return true if it is complete
     */
    public boolean isGroupComplete() {
        return dispatcher.isComplete(state);
    }

    /**
     * Signals the loss of the group.
     *
     * @param onSuspicion whether to signal as soon as the group is suspected, instead of when it is declared dead
     * @return a Mono that completes when the group is lost
     */
    public Mono<Void> whenLost(boolean onSuspicion) {
        return (onSuspicion ? suspectSignal : lostSignal).asMono();
    }

    void notifySuspect() {
        suspectSignal.tryEmitEmpty();
    }

    void notifyLost() {
        suspectSignal.tryEmitEmpty();
        lostSignal.tryEmitEmpty();
    }

    /**
     * Records the time to the first token of the run.
     *
     * @param millis the time in milliseconds
     */
    public void recordFirstToken(double millis) {
        state.recordFirstToken(millis);
    }

    /**
     * Releases the assignment. Further calls have no effect.
     *
     * @param failed whether the run failed on the group, which then receives no requests for a short time
     */
    public void release(boolean failed) {
        if (released.compareAndSet(false, true)) {
            state.removeAssignment(this);
            dispatcher.release(state, failed);
        }
    }
}
