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

import org.hallwall.core.duty.DutyState;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;

/**
 * The state of a domain controller for a dump.
 *
 * @param phase what it does
 * @param leaseHolder the process to which this one has granted the lease; null if none
 * @param term the lease term
 * @param lastFencing the last fencing number given out or seen
 * @param ordered the orders that targets have not announced yet
 * @param draining the groups being drained
 * @param ring the state of its ring
 */
public record ControllerState(
        Phase phase,
        InstanceId leaseHolder,
        long term,
        long lastFencing,
        Map<String, GroupId> ordered,
        List<GroupId> draining,
        DutyState ring) {

    /** What a controller does. */
    public enum Phase {
        /** Another process holds the lease, or none does. */
        STANDBY,
        /** It has the lease and listens before its first order. */
        LISTENING,
        /** It has the lease and gives orders. */
        ACTIVE
    }
}
