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
package org.hallwall.domain;

import java.util.List;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;

/** One step that the planner wants the controller to take. */
public sealed interface GroupStep {

    /**
     * Makes a group of these targets.
     *
     * @param wanted what the group is for
     * @param members the members in order of rank
     */
    record Form(WantedGroup wanted, List<InstanceId> members) implements GroupStep {}

    /**
     * Takes the targets out of any group.
     *
     * @param group the group that they leave
     * @param members the targets
     */
    record Dissolve(GroupId group, List<InstanceId> members) implements GroupStep {}

    /**
     * Lets a group finish its runs and get no new ones.
     *
     * @param group the group
     */
    record Drain(GroupId group) implements GroupStep {}
}
