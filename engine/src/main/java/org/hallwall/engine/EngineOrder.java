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
package org.hallwall.engine;

import java.util.List;

import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.settings.NetAddress;

/**
 * An order to a target to join or leave a group.
 *
 * @param kind the kind of order
 * @param group the group to join; for a leave, the group to leave
 * @param modelGroup the model group that the group serves; null for a leave
 * @param fencing the fencing number; a target that checks it rejects a number lower than its own
 * @param expiresAt the expiration time, in milliseconds since the Unix epoch
 * @param members the members in order of rank; empty for a leave
 * @param model the model to load; null for a leave
 * @param version the version to load; null for a leave
 * @param adapters the adapters to load
 * @param role the role; null for a leave
 */
public record EngineOrder(
        Kind kind,
        GroupId group,
        ModelGroupId modelGroup,
        FencingToken fencing,
        long expiresAt,
        List<Member> members,
        String model,
        String version,
        List<String> adapters,
        String role) {

    /** Applies default values. */
    public EngineOrder {
        members = members == null ? List.of() : List.copyOf(members);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    /** The kind of an order. */
    public enum Kind {
        /** Join the group and load its model and adapters. */
        JOIN,
        /** Leave the group. */
        LEAVE
    }

    /**
     * A member of a group.
     *
     * @param instance the target
     * @param address its address
     */
    public record Member(InstanceId instance, NetAddress address) {}
}
