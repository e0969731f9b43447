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

/**
 * Tracks engines that did not answer the controller. The network between them may be partitioned while entries still reach them,
 * so members of a serving group are considered dead only if an entry cannot reach them either. Not thread-safe.
 */
final class SuspectTracker {

    /** How long an engine stays suspected without a finding of an entry, in milliseconds: longer than a probe and a round trip. */
    private static final long SUSPICION_MILLIS = 1_000;
    /** How long the finding of an entry is valid, in milliseconds; until then the controller does not probe the engine again. */
    private static final long REACHABLE_MILLIS = 3_000;

    private final Map<InstanceId, Long> suspectedAt = new HashMap<>();
    private final Map<InstanceId, Long> reachableAt = new HashMap<>();

    void suspect(InstanceId engine, long now) {
        suspectedAt.put(engine, now);
    }

    /** Records that an entry reaches an engine. */
    void markReachable(InstanceId engine, long now) {
        suspectedAt.remove(engine);
        reachableAt.put(engine, now);
    }

    /** Records that an entry cannot reach an engine either. */
    void markLost(InstanceId engine) {
        suspectedAt.remove(engine);
        reachableAt.remove(engine);
    }

    boolean isReachedByEntries(InstanceId engine, long now) {
        return now - reachableAt.getOrDefault(engine, Long.MIN_VALUE / 2) <= REACHABLE_MILLIS;
    }

    /** Returns the given engines that an entry should probe. */
    List<InstanceId> suspectsAmong(List<InstanceId> engines, long now) {
        List<InstanceId> out = new ArrayList<>();
        for (InstanceId id : engines) {
            boolean pending = now - suspectedAt.getOrDefault(id, Long.MIN_VALUE / 2) <= SUSPICION_MILLIS;
            if (pending || isReachedByEntries(id, now)) {
                out.add(id);
            }
        }
        return out;
    }
}
