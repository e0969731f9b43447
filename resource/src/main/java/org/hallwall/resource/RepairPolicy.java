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

/** How a group that has lost a member is repaired. */
public enum RepairPolicy {
    /** Replaces the lost member with a spare and reserves spares for this, to minimize group downtime. */
    GROUP_DOWNTIME(true, true, false),
    /**
     * Replaces the lost member with any idle target and dissolves an incomplete group so that its members can complete
     * another one, to minimize stranded accelerators.
     */
    STRANDED_ACCELERATORS(true, false, true),
    /** Dissolves the group and forms a new one; the baseline for comparison of the other policies. */
    REBUILD(false, false, false);

    private final boolean replacesMembers;
    private final boolean reservesSpares;
    private final boolean mergesGroups;

    RepairPolicy(boolean replacesMembers, boolean reservesSpares, boolean mergesGroups) {
        this.replacesMembers = replacesMembers;
        this.reservesSpares = reservesSpares;
        this.mergesGroups = mergesGroups;
    }

    /**
     * Returns whether only the lost members are replaced, so that the others keep their weights loaded.
     *
     * @return true if only the lost members are replaced
     */
    public boolean replacesMembers() {
        return replacesMembers;
    }

    /**
     * Returns whether one idle target per fabric domain is reserved for repairs.
     *
     * @return true if spares are reserved
     */
    public boolean reservesSpares() {
        return reservesSpares;
    }

    /**
     * Returns whether an incomplete group is dissolved to complete another one with its members.
     *
     * @return true if incomplete groups are merged
     */
    public boolean mergesGroups() {
        return mergesGroups;
    }
}
