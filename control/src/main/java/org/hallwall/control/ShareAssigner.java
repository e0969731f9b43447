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
package org.hallwall.control;

import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.FailureDomainId;

/** Divides the replicas of model groups over the failure domains. */
public final class ShareAssigner {

    private final Map<FailureDomainId, Integer> free;

    /**
     * Creates an assigner for one round.
     *
     * @param free the targets in each usable failure domain that no share speaks for; kept up to date by this object
     */
    public ShareAssigner(Map<FailureDomainId, Integer> free) {
        this.free = new TreeMap<>(free);
    }

    /**
     * Divides the replicas of one model group; replicas stay where they are as long as the domain is usable.
     *
     * @param replicas how many replicas are declared
     * @param targetsPerReplica how many targets each takes
     * @param current the current shares
     * @return the new shares; together fewer than declared only if no domain is usable
     */
    public Map<String, Integer> assign(int replicas, int targetsPerReplica, Map<String, Integer> current) {
        Map<String, Integer> shares = new TreeMap<>();
        int given = 0;
        for (Map.Entry<String, Integer> e : new TreeMap<>(current).entrySet()) {
            int keep = Math.min(e.getValue(), replicas - given);
            if (free.containsKey(new FailureDomainId(e.getKey())) && keep > 0) {
                give(shares, e.getKey(), keep, targetsPerReplica);
                given += keep;
            }
        }
        while (given < replicas && !free.isEmpty()) {
            give(shares, roomiest(shares), 1, targetsPerReplica);
            given++;
        }
        return shares;
    }

    private void give(Map<String, Integer> shares, String domain, int replicas, int targetsPerReplica) {
        shares.merge(domain, replicas, Integer::sum);
        free.merge(new FailureDomainId(domain), -replicas * targetsPerReplica, Integer::sum);
    }

    private String roomiest(Map<String, Integer> shares) {
        FailureDomainId best = null;
        for (FailureDomainId d : free.keySet()) {
            if (best == null || isRoomier(d, best, shares)) {
                best = d;
            }
        }
        return best.value();
    }

    private boolean isRoomier(FailureDomainId a, FailureDomainId b, Map<String, Integer> shares) {
        int byRoom = Integer.compare(free.get(a), free.get(b));
        if (byRoom != 0) {
            return byRoom > 0;
        }
        return shares.getOrDefault(a.value(), 0) < shares.getOrDefault(b.value(), 0);
    }
}
