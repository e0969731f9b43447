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
package org.hallwall.serving.target;

/** The state of a group member, as it announces it. */
public enum GroupState {
    /** Loading the model, or waiting for it. */
    JOINING(false, false),
    /** Joined and idle. */
    READY(true, false),
    /** A head that serves requests or is about to. */
    OPEN(true, true),
    /** A head that finishes its requests. */
    CLOSING(true, true),
    /** A head whose group has lost a member. */
    BROKEN(false, false);

    private final boolean joined;
    private final boolean reservesMembers;

    GroupState(boolean joined, boolean holdsMembers) {
        this.joined = joined;
        this.reservesMembers = holdsMembers;
    }

    /**
     * Returns whether the target has joined its group.
     *
     * @return true if it has joined
     */
    public boolean hasJoined() {
        return joined;
    }

    /**
     * Returns whether a head in this state prevents its members from joining another group.
     *
     * @return true if the members must stay in the group
     */
    public boolean reservesMembers() {
        return reservesMembers;
    }
}
