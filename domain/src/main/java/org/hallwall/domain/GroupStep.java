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

/** One step of a plan, carried out by the controller. */
public sealed interface GroupStep {

    /**
     * Forms a group of the given targets.
     *
     * @param wanted the model group that it serves
     * @param members the members in order of rank
     */
    record Form(DesiredModelGroup wanted, List<InstanceId> members) implements GroupStep {}

    /**
     * Removes the targets from their group.
     *
     * @param group the group to dissolve
     * @param members the targets
     */
    record Dissolve(GroupId group, List<InstanceId> members) implements GroupStep {}

    /**
     * Stops new runs on a group while it finishes its current ones.
     *
     * @param group the group
     */
    record Drain(GroupId group) implements GroupStep {}
}
