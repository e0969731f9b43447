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
import java.util.Set;
import java.util.TreeMap;

import org.hallwall.core.id.FailureDomainId;

/** Divides the replicas of model groups over the failure domains. */
public final class ShareAssigner {

    private final Map<FailureDomainId, Integer> free;
    private final Set<FailureDomainId> strained;

    /**
     * Creates an assigner for one round.
     *
     * @param free the targets of each usable failure domain less those that the current shares need; may be negative; kept
     *     up to date by this object
     * @param strained the failure domains that have had too few targets for their shares for long
     */
    public ShareAssigner(Map<FailureDomainId, Integer> free, Set<FailureDomainId> strained) {
        this.free = new TreeMap<>(free);
        this.strained = strained;
    }

    /**
     * Divides the replicas of one model group. Replicas stay where they are as long as the domain is usable and not
     * strained; new ones go only where there are targets for them, so that a domain that is heard first does not get what
     * it cannot serve.
     *
     * @param replicas how many replicas are declared
     * @param targetsPerReplica how many targets each takes
     * @param current the current shares
     * @return the new shares; together fewer than declared while no domain has room
     */
    public Map<String, Integer> assign(int replicas, int targetsPerReplica, Map<String, Integer> current) {
        Map<String, Integer> shares = new TreeMap<>();
        int given = 0;
        for (Map.Entry<String, Integer> e : new TreeMap<>(current).entrySet()) {
            FailureDomainId domain = new FailureDomainId(e.getKey());
            if (!free.containsKey(domain)) {
                continue;
            }
            int keep = Math.min(e.getValue(), replicas - given);
            keep -= movable(domain, keep, targetsPerReplica);
            free.merge(domain, (e.getValue() - keep) * targetsPerReplica, Integer::sum);
            given += keep;
            if (keep > 0) {
                shares.put(e.getKey(), keep);
            }
        }
        FailureDomainId roomy = roomiest(shares, targetsPerReplica);
        while (given < replicas && roomy != null) {
            shares.merge(roomy.value(), 1, Integer::sum);
            free.merge(roomy, -targetsPerReplica, Integer::sum);
            given++;
            roomy = roomiest(shares, targetsPerReplica);
        }
        return shares;
    }

    /** A strained domain gives up one replica a round, if another one has room for it. */
    private int movable(FailureDomainId domain, int held, int targetsPerReplica) {
        if (held == 0 || !strained.contains(domain) || free.get(domain) >= 0) {
            return 0;
        }
        for (Map.Entry<FailureDomainId, Integer> e : free.entrySet()) {
            if (!e.getKey().equals(domain) && e.getValue() >= targetsPerReplica) {
                return 1;
            }
        }
        return 0;
    }

    private FailureDomainId roomiest(Map<String, Integer> shares, int targetsPerReplica) {
        FailureDomainId best = null;
        for (FailureDomainId d : free.keySet()) {
            boolean fits = free.get(d) >= targetsPerReplica;
            if (fits && (best == null || isRoomier(d, best, shares))) {
                best = d;
            }
        }
        return best;
    }

    private boolean isRoomier(FailureDomainId a, FailureDomainId b, Map<String, Integer> shares) {
        int byRoom = Integer.compare(free.get(a), free.get(b));
        if (byRoom != 0) {
            return byRoom > 0;
        }
        return shares.getOrDefault(a.value(), 0) < shares.getOrDefault(b.value(), 0);
    }
}
