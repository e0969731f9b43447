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
package org.hallwall.simulation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.group.Engine;
import org.hallwall.serving.group.TargetOrder;
import org.hallwall.serving.group.VerificationState;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetRecord;

/** A model engine: the weights staged on its host, the loaded model, its group membership and pending transitions. */
final class SimulatedEngine {

    private static final NetAddress UNUSED_ADDRESS = new NetAddress("127.0.0.1", 1);

    final InstanceId id;
    final String failureDomain;
    final String fabricDomain;
    String stagedModel;
    String loadedModel;
    GroupMembership membership;
    TargetOrder.Join joinOrder;
    long joinedAtMillis = Long.MAX_VALUE;
    long opensAtMillis = Long.MAX_VALUE;
    boolean unreachable;
    long unreachableSinceMillis;
    boolean markedFailed;

    SimulatedEngine(String name, String failureDomain, String fabricDomain) {
        this.id = new InstanceId(name);
        this.failureDomain = failureDomain;
        this.fabricDomain = fabricDomain;
    }

    /** Returns the planners' view of this engine. */
    Engine toEngine(String service, boolean silent) {
        TargetRecord r = new TargetRecord(
                id,
                1,
                service,
                UNUSED_ADDRESS,
                failureDomain,
                1,
                TargetRecord.Presence.SERVING,
                fabricDomain,
                membership != null && membership.state().hasJoined() ? loadedModel : null,
                stagedModel == null ? List.of() : List.of(stagedModel),
                membership);
        return new Engine(r, loadedModel, markedFailed, silent, VerificationState.VERIFIED);
    }

    boolean isHeadOf(String group) {
        return membership != null && membership.rank() == 0 && membership.name().equals(group);
    }

    void setState(GroupState state) {
        membership = new GroupMembership(membership.name(), membership.epoch(), membership.rank(), state);
    }

    Set<InstanceId> members() {
        return joinOrder == null ? Set.of() : new HashSet<>(joinOrder.members());
    }
}
