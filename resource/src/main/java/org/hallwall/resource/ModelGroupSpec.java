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
 * The spec of a model group.
 *
 * @param model the name of the model
 * @param version the version of its weights
 * @param adapters the adapters to load
 * @param targetsPerReplica the number of targets per replica
 * @param replicas the total number of replicas in all failure domains
 * @param role the phases of inference that the engines perform
 * @param repairPolicy how a group that has lost a member is repaired
 * @param maxUnavailable the maximum number of replicas per failure domain that are unavailable during a version change
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

    /** Applies default values. */
    public ModelGroupSpec {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        role = role == null ? EngineRole.BOTH : role;
        repairPolicy = repairPolicy == null ? RepairPolicy.GROUP_DOWNTIME : repairPolicy;
        maxUnavailable = maxUnavailable == null ? 1 : maxUnavailable;
    }
}
