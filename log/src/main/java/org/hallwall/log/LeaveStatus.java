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
package org.hallwall.log;

/** How far the planned leave of a voter has come. */
public enum LeaveStatus {
    /** The voter takes part as usual. */
    NOT_REQUESTED(false),
    /** The voter has asked to leave and waits for the answer of a leader. */
    REQUESTED(false),
    /** The voters without this one are committed. */
    REMOVED(true),
    /** The voter stays in the set, which is not larger than wanted. */
    KEPT(true);

    private final boolean decided;

    LeaveStatus(boolean decided) {
        this.decided = decided;
    }

    /**
     * Returns whether a leader has answered.
     *
     * @return true if the process may end
     */
    public boolean isDecided() {
        return decided;
    }
}
