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
package org.hallwall.engine;

import java.util.List;

import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;

/**
 * The membership of a target in a group.
 *
 * @param group the group
 * @param modelGroup the model group that it serves
 * @param fencing the fencing number of the order that formed the group
 * @param members all members in order of rank; the first one accepts runs
 * @param loaded whether this target has loaded the ordered model and adapters
 */
public record GroupMembership(
        GroupId group, ModelGroupId modelGroup, FencingToken fencing, List<InstanceId> members, boolean loaded) {

    /** Makes the list of members immutable. */
    public GroupMembership {
        members = List.copyOf(members);
    }
}
