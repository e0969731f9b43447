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

import org.hallwall.core.id.FencingNumber;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.settings.NetAddress;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A group that was chosen to run a request. It must be ended exactly once, however the run ends. */
public final class Assignment {

    private final GroupSlot slot;
    private final Dispatcher dispatcher;
    private final NetAddress head;
    private final FencingNumber fencing;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Sinks.Empty<Void> suspect = Sinks.empty();
    private final Sinks.Empty<Void> lost = Sinks.empty();

    Assignment(GroupSlot slot, Dispatcher dispatcher) {
        this.slot = slot;
        this.dispatcher = dispatcher;
        this.head = slot.view().head().announcement().address();
        this.fencing = slot.view().membership().fencing();
        slot.remember(this);
    }

    /**
     * Gives the group.
     *
     * @return the group
     */
    public GroupId group() {
        return slot.group();
    }

    /**
     * Gives the group's fencing number.
     *
     * @return the number
     */
    public FencingNumber fencing() {
        return fencing;
    }

    /**
     * Gives the address of the first member.
     *
     * @return the address
     */
    public NetAddress head() {
        return head;
    }

    /**
     * Says whether the group can still be expected to answer.
     *
     * @return true if it was complete at the last look
     */
    public boolean isStillComplete() {
        return dispatcher.isComplete(slot);
    }

    /**
     * Waits until the group is lost.
     *
     * @param early whether its first long silence counts as a loss, or only one after which a member is replaced
     * @return completes when the group is lost
     */
    public Mono<Void> lost(boolean early) {
        return (early ? suspect : lost).asMono();
    }

    void notifySuspect() {
        suspect.tryEmitEmpty();
    }

    void notifyLost() {
        suspect.tryEmitEmpty();
        lost.tryEmitEmpty();
    }

    /**
     * Notes the time to the first token.
     *
     * @param millis the time
     */
    public void sawFirstToken(double millis) {
        slot.sawFirstToken(millis);
    }

    /**
     * Ends the assignment; later calls do nothing.
     *
     * @param failed whether the group failed, so that it gets no work for a moment
     */
    public void end(boolean failed) {
        if (ended.compareAndSet(false, true)) {
            slot.forget(this);
            dispatcher.ended(slot, failed);
        }
    }
}
