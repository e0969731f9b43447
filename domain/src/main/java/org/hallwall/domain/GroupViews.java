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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.engine.GroupMembership;

/** Derives groups from the announcements of targets. */
public final class GroupViews {

    private GroupViews() {}

    /**
     * Derives the groups.
     *
     * @param targets the targets
     * @return each group that at least one of its members announces
     */
    public static Map<GroupId, GroupView> of(Iterable<AnnouncedTarget> targets) {
        Map<GroupId, List<AnnouncedTarget>> byGroup = new TreeMap<>();
        for (AnnouncedTarget t : targets) {
            GroupMembership m = t.announcement().membership();
            if (m != null && m.members().contains(t.instance())) {
                byGroup.computeIfAbsent(m.group(), g -> new ArrayList<>()).add(t);
            }
        }
        Map<GroupId, GroupView> out = new TreeMap<>();
        byGroup.forEach((group, members) -> out.put(group, createView(members)));
        return out;
    }

    /** Combines the members that announce the highest fencing number; members with a lower one are ignored. */
    private static GroupView createView(List<AnnouncedTarget> announced) {
        GroupMembership latest = announced.get(0).announcement().membership();
        for (AnnouncedTarget t : announced) {
            GroupMembership m = t.announcement().membership();
            latest = m.fencing().compareTo(latest.fencing()) > 0 ? m : latest;
        }
        List<AnnouncedTarget> present = new ArrayList<>();
        boolean loaded = true;
        boolean leaving = false;
        long heardAt = Long.MAX_VALUE;
        for (InstanceId member : latest.members()) {
            AnnouncedTarget t = find(announced, member, latest);
            if (t != null) {
                present.add(t);
                loaded &= t.announcement().membership().loaded();
                leaving |= t.announcement().leaving();
                heardAt = Math.min(heardAt, t.announcedAt());
            }
        }
        return new GroupView(latest, present, loaded, leaving, heardAt);
    }

    private static AnnouncedTarget find(List<AnnouncedTarget> announced, InstanceId member, GroupMembership latest) {
        for (AnnouncedTarget t : announced) {
            if (t.instance().equals(member)
                    && t.announcement().membership().fencing().equals(latest.fencing())) {
                return t;
            }
        }
        return null;
    }
}
