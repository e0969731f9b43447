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

/**
 * A target's membership in a group, as it announces it.
 *
 * @param name the group's name
 * @param epoch the number of the order that formed the group; increases with every order
 * @param rank the target's rank in the group; zero is the head
 * @param state the announced state
 */
public record GroupMembership(String name, long epoch, int rank, GroupState state) {

    /**
     * Returns whether another membership is in the same group.
     *
     * @param other the other membership; may be null
     * @return true if name and epoch are equal
     */
    public boolean isSameGroup(GroupMembership other) {
        return other != null && epoch == other.epoch && name.equals(other.name);
    }
}
