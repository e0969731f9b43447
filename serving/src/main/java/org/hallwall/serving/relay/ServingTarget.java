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
package org.hallwall.serving.relay;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.target.GroupMark;

/**
 * A target that requests may go to: a plain one, or the head of a complete group.
 *
 * @param instance the target
 * @param announcement the number of the announcement that this was read from; a later one is higher
 * @param address where it takes requests
 * @param failureDomain its failure domain
 * @param slots how many requests it runs at once
 * @param model the model of its group; null for a plain one
 * @param group its group; null for a plain one
 * @param slowness how much slower it is than others of its kind
 */
public record ServingTarget(
        InstanceId instance,
        long announcement,
        NetAddress address,
        String failureDomain,
        int slots,
        String model,
        GroupMark group,
        double slowness) {

    /**
     * Says whether another target is the same one with the same group.
     *
     * @param other the other target
     * @return true if it is
     */
    public boolean isSame(ServingTarget other) {
        boolean sameGroup = group == null ? other.group == null : group.sameGroup(other.group);
        return sameGroup && instance.equals(other.instance);
    }
}
