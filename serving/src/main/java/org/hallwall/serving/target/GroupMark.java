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
 * The place of a target in a group, as it announces it.
 *
 * @param name the group's name
 * @param epoch the number of the order that made the group; a later one is higher
 * @param rank the place; zero is the head
 * @param state what the target says of it
 */
public record GroupMark(String name, long epoch, int rank, GroupState state) {

    /**
     * Says whether another mark is of the same group.
     *
     * @param other the other mark; may be null
     * @return true if name and epoch are equal
     */
    public boolean sameGroup(GroupMark other) {
        return other != null && epoch == other.epoch && name.equals(other.name);
    }
}
