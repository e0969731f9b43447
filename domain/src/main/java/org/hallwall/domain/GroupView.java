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

import org.hallwall.core.id.FabricDomainId;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.GroupMembership;
import org.hallwall.resource.EngineRole;
import org.hallwall.resource.ModelGroupSpec;

/**
 * A group as its members announce it.
 *
 * @param membership the membership as one member announces it
 * @param present the members that announce this group, in order of rank
 * @param loaded whether all present members have loaded what they need
 * @param leaving whether any present member is about to stop
 * @param heardAt when the member heard longest ago was heard
 */
public record GroupView(
        GroupMembership membership, List<KnownTarget> present, boolean loaded, boolean leaving, long heardAt) {

    /**
     * Gives the group's name.
     *
     * @return the name
     */
    public GroupId group() {
        return membership.group();
    }

    /**
     * Says whether every member announces the group.
     *
     * @return true if none is missing
     */
    public boolean isIntact() {
        return present.size() == membership.members().size();
    }

    /**
     * Says whether the group can serve.
     *
     * @param now the clock
     * @param lease how long an announcement counts
     * @return true if every member announces the group freshly and has loaded
     */
    public boolean isComplete(long now, long lease) {
        return isIntact() && loaded && now - heardAt <= lease;
    }

    /**
     * Gives the member that takes runs.
     *
     * @return the first member; null if it is missing
     */
    public KnownTarget head() {
        KnownTarget first = present.get(0);
        return first.instance().equals(membership.members().get(0)) ? first : null;
    }

    /**
     * Gives the fabric domain of the group.
     *
     * @return the fabric domain of the first present member
     */
    public FabricDomainId fabricDomain() {
        return present.get(0).announcement().fabricDomain();
    }

    /**
     * Says whether a target is a member that announces the group.
     *
     * @param instance the target
     * @return true if it is
     */
    public boolean hasPresent(InstanceId instance) {
        return present.stream().anyMatch(t -> t.instance().equals(instance));
    }

    /**
     * Says whether the group can serve a whole request.
     *
     * @return true if its engines both read prompts and write answers
     */
    public boolean servesWhole() {
        String role = present.get(0).announcement().role();
        for (EngineRole r : EngineRole.values()) {
            if (r.name().equals(role)) {
                return r.servesWhole();
            }
        }
        return false;
    }

    /**
     * Says whether the group has loaded an adapter.
     *
     * @param adapter the adapter; null for none
     * @return true if every present member announces it
     */
    public boolean hasAdapter(String adapter) {
        for (KnownTarget t : present) {
            if (adapter != null && !t.announcement().adapters().contains(adapter)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Says whether the group is what a spec asks for.
     *
     * @param spec the spec
     * @return true if the model, the version, the adapters, the role and the size are those of the spec
     */
    public boolean meets(ModelGroupSpec spec) {
        Announcement a = present.get(0).announcement();
        return membership.members().size() == spec.targetsPerReplica()
                && spec.model().equals(a.model())
                && spec.version().equals(a.version())
                && a.adapters().containsAll(spec.adapters())
                && spec.role().name().equals(a.role());
    }
}
