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

import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.ModelGroupId;

/** Builds and parses group names. A name consists of the model group and the fencing number, so it is never reused. */
public final class GroupNames {

    private static final char SEPARATOR = ':';

    private GroupNames() {}

    /**
     * Returns the name of a new group.
     *
     * @param modelGroup the model group that it serves
     * @param fencing the fencing number of the order that creates it
     * @return the name
     */
    public static GroupId of(ModelGroupId modelGroup, FencingToken fencing) {
        return new GroupId(modelGroup.value() + SEPARATOR + fencing);
    }

    /**
     * Returns whether a group serves a model group.
     *
     * @param group the group
     * @param modelGroup the model group
     * @return true if so
     */
    public static boolean isOf(GroupId group, ModelGroupId modelGroup) {
        int separator = group.value().lastIndexOf(SEPARATOR);
        return separator > 0 && group.value().substring(0, separator).equals(modelGroup.value());
    }
}
