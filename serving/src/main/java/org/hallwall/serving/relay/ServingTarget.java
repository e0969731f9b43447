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
import org.hallwall.serving.target.GroupMembership;

/**
 * A target that can serve requests: a plain target, or the head of a complete group.
 *
 * @param instance the target instance
 * @param announcementSequence the sequence number of the announcement; increases with each announcement
 * @param address the address for requests
 * @param failureDomain the failure domain
 * @param slots the number of requests that it runs concurrently
 * @param model the model of the group; null for a plain target
 * @param group the group; null for a plain target
 * @param slowdown the slowdown factor relative to other targets of the model
 */
public record ServingTarget(
        InstanceId instance,
        long announcementSequence,
        NetAddress address,
        String failureDomain,
        int slots,
        String model,
        GroupMembership group,
        double slowdown) {

    /**
     * Returns whether another target is the same instance in the same group.
     *
     * @param other the other target
     * @return true if instance and group are the same
     */
    public boolean isSame(ServingTarget other) {
        boolean sameGroup = group == null ? other.group == null : group.isSameGroup(other.group);
        return sameGroup && instance.equals(other.instance);
    }
}
