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
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;

/**
 * What the planner decides from.
 *
 * @param now the clock
 * @param targets the model engines of the failure domain; those silent for long may be among them
 * @param wanted what is wanted of each model group
 * @param ordered the group that each target was ordered to join lately and has not announced yet; the value of a leave
 *     is the group left
 * @param drained the groups that have finished their runs and get no new ones
 * @param maxLoads how many targets may load weights at once; zero for no bound
 */
public record GroupPlanInput(
        long now,
        List<KnownTarget> targets,
        List<WantedGroup> wanted,
        Map<InstanceId, GroupId> ordered,
        Set<GroupId> drained,
        int maxLoads) {}
