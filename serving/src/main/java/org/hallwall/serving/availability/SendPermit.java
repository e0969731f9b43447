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
package org.hallwall.serving.availability;

import org.hallwall.core.id.InstanceId;

/** The right to send one request to a target; it ends with the attempt. */
public final class SendPermit {

    private final TargetAvailability availability;
    private final InstanceId target;
    private final boolean first;
    private boolean answered;

    SendPermit(TargetAvailability availability, InstanceId target, boolean first) {
        this.availability = availability;
        this.target = target;
        this.first = first;
    }

    InstanceId target() {
        return target;
    }

    /**
     * Says whether the request may still go out, now that a connection is there.
     *
     * @return false if the target has asked for rest meanwhile, or has said that it leaves
     */
    public boolean isStillWanted() {
        return !availability.isResting(target) && !availability.isLeaving(target);
    }

    /**
     * Takes the head of the answer.
     *
     * @param status its status
     * @param notice what it says of the target
     */
    public void answered(int status, TargetNotice notice) {
        answered = true;
        availability.take(target, notice);
        if (first) {
            availability.firstAnswered(target, NoticeReader.isTurnedAway(status));
        }
    }

    /** Ends the permit; after an answer this changes nothing. */
    public void end() {
        if (first && !answered) {
            availability.firstDropped(target);
        }
    }
}
