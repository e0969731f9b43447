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
package org.hallwall.serving.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/** Tracks how long engines have been free. */
final class IdleTracker {

    private final Map<InstanceId, Long> freeSince = new HashMap<>();

    /**
     * Sets the engines that are free now and removes all others.
     *
     * @param now the current time in milliseconds
     * @param free the free engines by fabric domain
     */
    void update(long now, Map<String, List<Engine>> free) {
        Map<InstanceId, Long> updated = new HashMap<>();
        for (List<Engine> list : free.values()) {
            list.forEach(e -> updated.put(e.id(), freeSince.getOrDefault(e.id(), now)));
        }
        freeSince.clear();
        freeSince.putAll(updated);
    }

    /** Returns the given engines that have been free for longer than a time. */
    List<Engine> idleLongerThan(long now, long millis, List<Engine> engines) {
        List<Engine> out = new ArrayList<>();
        for (Engine e : engines) {
            if (now - freeSince.getOrDefault(e.id(), now) > millis) {
                out.add(e);
            }
        }
        return out;
    }
}
