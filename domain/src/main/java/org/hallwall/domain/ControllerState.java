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

import org.hallwall.core.duty.EventLoopState;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;

/**
 * The state of a domain controller, as shown in dumps.
 *
 * @param phase the current phase
 * @param leaseHolder the process to which this one has granted the lease; null if none
 * @param term the lease term
 * @param lastFencing the highest fencing number issued or observed
 * @param ordered the group of the pending order of each target
 * @param draining the groups being drained
 * @param ring the state of the controller's event queue
 */
public record ControllerState(
        Phase phase,
        InstanceId leaseHolder,
        long term,
        long lastFencing,
        Map<String, GroupId> ordered,
        List<GroupId> draining,
        EventLoopState ring) {

    /** The phase of a controller. */
    public enum Phase {
        /** Another process holds the lease, or none does. */
        STANDBY,
        /** This process holds the lease and collects announcements before its first order. */
        LISTENING,
        /** This process holds the lease and sends orders. */
        ACTIVE
    }
}
