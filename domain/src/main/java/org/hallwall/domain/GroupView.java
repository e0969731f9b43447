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
 * A group as announced by its members.
 *
 * @param membership the membership with the highest fencing number
 * @param present the members that announce this group, in order of rank
 * @param loaded whether all present members have loaded the model and its adapters
 * @param leaving whether any present member is about to stop
 * @param oldestAnnouncementAt the time of the oldest of the members' latest announcements
 */
public record GroupView(
        GroupMembership membership,
        List<AnnouncedTarget> present,
        boolean loaded,
        boolean leaving,
        long oldestAnnouncementAt) {

    /**
     * Returns the name of the group.
     *
     * @return the name
     */
    public GroupId group() {
        return membership.group();
    }

    /**
     * Returns whether every member announces the group.
     *
     * @return true if no member is missing
     */
    public boolean hasAllMembers() {
        return present.size() == membership.members().size();
    }

    /**
     * Returns whether the group can serve.
     *
     * @param now the current monotonic time in milliseconds
     * @param lease how long an announcement is valid
     * @return true if every member has loaded the model and its announcement is still valid
     */
    public boolean isComplete(long now, long lease) {
        return hasAllMembers() && loaded && now - oldestAnnouncementAt <= lease;
    }

    /**
     * Returns the member that accepts runs.
     *
     * @return the first member; null if it does not announce the group
     */
    public AnnouncedTarget head() {
        AnnouncedTarget first = present.get(0);
        return first.instance().equals(membership.members().get(0)) ? first : null;
    }

    /**
     * Returns the fabric domain of the group.
     *
     * @return the fabric domain of the first present member
     */
    public FabricDomainId fabricDomain() {
        return present.get(0).announcement().fabricDomain();
    }

    /**
     * Returns whether a target is a member that announces the group.
     *
     * @param instance the target
     * @return true if so
     */
    public boolean isPresent(InstanceId instance) {
        return present.stream().anyMatch(t -> t.instance().equals(instance));
    }

    /**
     * Returns whether the group can serve a request without another group.
     *
     * @return true if its engines perform both prefill and decode
     */
    public boolean servesFullRequests() {
        String role = present.get(0).announcement().role();
        for (EngineRole r : EngineRole.values()) {
            if (r.name().equals(role)) {
                return r.servesFullRequests();
            }
        }
        return false;
    }

    /**
     * Returns whether the group has loaded an adapter.
     *
     * @param adapter the adapter; null for none
     * @return true if every present member announces it
     */
    public boolean hasAdapter(String adapter) {
        for (AnnouncedTarget t : present) {
            if (adapter != null && !t.announcement().adapters().contains(adapter)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the group matches a spec.
     *
     * @param spec the spec
     * @return true if the model, the version, the adapters, the role and the size are those of the spec
     */
    public boolean matchesSpec(ModelGroupSpec spec) {
        Announcement a = present.get(0).announcement();
        return membership.members().size() == spec.targetsPerReplica()
                && spec.model().equals(a.model())
                && spec.version().equals(a.version())
                && a.adapters().containsAll(spec.adapters())
                && spec.role().name().equals(a.role());
    }
}
