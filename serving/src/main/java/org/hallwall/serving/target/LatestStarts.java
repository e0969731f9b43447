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
package org.hallwall.serving.target;

import java.util.HashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/** The latest known start of each target, by name. */
final class LatestStarts {

    private final Map<String, InstanceId> latest = new HashMap<>();

    /** Returns whether a later start of the same target is known. */
    boolean isSuperseded(InstanceId id) {
        InstanceId known = latest.get(TargetIds.name(id));
        return known != null && TargetIds.startMillis(known) > TargetIds.startMillis(id);
    }

    /** Records the latest start of a target and returns the earlier one that it replaces, or null. */
    InstanceId update(InstanceId id) {
        InstanceId previous = latest.put(TargetIds.name(id), id);
        return id.equals(previous) ? null : previous;
    }

    /** Returns the latest start of a target, or null. */
    InstanceId get(String name) {
        return latest.get(name);
    }

    void remove(InstanceId id) {
        latest.remove(TargetIds.name(id), id);
    }
}
