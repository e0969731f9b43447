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
package org.hallwall.resource;

import java.util.List;

/**
 * A declared model group.
 *
 * @param model the name of the model
 * @param version the version of its weights
 * @param adapters the adapters to load
 * @param targetsPerReplica how many targets make one replica
 * @param replicas how many replicas there are over all failure domains
 * @param role what part of a run the engines do
 * @param repairPolicy how a group that has lost a member is repaired
 * @param maxUnavailable how many replicas a change of version may take down at once in a failure domain
 */
public record ModelGroupSpec(
        String model,
        String version,
        List<String> adapters,
        int targetsPerReplica,
        int replicas,
        EngineRole role,
        RepairPolicy repairPolicy,
        Integer maxUnavailable) {

    /** Fills in what the declaration leaves out. */
    public ModelGroupSpec {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        role = role == null ? EngineRole.BOTH : role;
        repairPolicy = repairPolicy == null ? RepairPolicy.GROUP_DOWNTIME : repairPolicy;
        maxUnavailable = maxUnavailable == null ? 1 : maxUnavailable;
    }
}
