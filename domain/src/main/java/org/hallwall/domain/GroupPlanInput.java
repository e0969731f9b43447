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
 * The input of the planner.
 *
 * @param now the current monotonic time in milliseconds
 * @param targets the model engines of the failure domain, including those whose announcement has expired
 * @param wanted the desired state of each model group
 * @param ordered the group of each order that its target has not confirmed yet: the group to join, or to leave
 * @param drained the groups that have finished their runs and receive no new ones
 * @param maxLoads the maximum number of targets that load weights concurrently; zero for no limit
 */
public record GroupPlanInput(
        long now,
        List<AnnouncedTarget> targets,
        List<DesiredModelGroup> wanted,
        Map<InstanceId, GroupId> ordered,
        Set<GroupId> drained,
        int maxLoads) {}
