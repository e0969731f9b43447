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
    /** Replace the member at once from a spare, and keep spares for it: least group downtime. */
    GROUP_DOWNTIME(true, true, false),
    /** Replace from whatever is idle; dissolve the group where its members complete another: least stranded. */
    STRANDED_ACCELERATORS(true, false, true),
    /** Rebuild the whole group: the baseline that the others are measured against. */
    REBUILD(false, false, false);

    private final boolean replacesMembers;
    private final boolean holdsSpares;
    private final boolean merges;

    RepairPolicy(boolean replacesMembers, boolean holdsSpares, boolean merges) {
        this.replacesMembers = replacesMembers;
        this.holdsSpares = holdsSpares;
        this.merges = merges;
    }

    /**
     * Says whether the surviving members keep what they have loaded.
     *
     * @return true if only the lost members are replaced
     */
    public boolean replacesMembers() {
        return replacesMembers;
    }

    /**
     * Says whether one idle target a fabric domain is kept back for repairs.
     *
     * @return true if spares are held
     */
    public boolean holdsSpares() {
        return holdsSpares;
    }

    /**
     * Says whether an incomplete group is dissolved when its members complete another one.
     *
     * @return true if incomplete groups are merged
     */
    public boolean merges() {
        return merges;
    }
}
