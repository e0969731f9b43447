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

/** Assigns the replicas of model groups to failure domains. */
public final class ShareAssigner {

    private final Map<FailureDomainId, Integer> freeTargets;
    private final Set<FailureDomainId> overcommitted;

    /**
     * Creates an assigner for one round.
     *
     * @param freeTargets the free targets of each usable failure domain: its targets less those required by its current
     *     shares; may be negative
     * @param overcommitted the failure domains that have had fewer targets than their shares require for long
     */
    public ShareAssigner(Map<FailureDomainId, Integer> freeTargets, Set<FailureDomainId> overcommitted) {
        this.freeTargets = new TreeMap<>(freeTargets);
        this.overcommitted = overcommitted;
    }

    /**
     * Assigns the replicas of one model group. Existing replicas are kept as long as their domain is usable and not
     * overcommitted. New replicas are assigned only to domains with enough free targets.
     *
     * @param replicas the declared number of replicas
     * @param targetsPerReplica the number of targets per replica
     * @param current the current shares
     * @return the new shares; their sum is below the declared number if the domains lack free targets
     */
    public Map<String, Integer> assign(int replicas, int targetsPerReplica, Map<String, Integer> current) {
        Map<String, Integer> shares = new TreeMap<>();
        int assigned = 0;
        for (Map.Entry<String, Integer> e : new TreeMap<>(current).entrySet()) {
            FailureDomainId domain = new FailureDomainId(e.getKey());
            if (!freeTargets.containsKey(domain)) {
                continue;
            }
            int kept = Math.min(e.getValue(), replicas - assigned);
            kept -= replicasToMove(domain, kept, targetsPerReplica);
            freeTargets.merge(domain, (e.getValue() - kept) * targetsPerReplica, Integer::sum);
            assigned += kept;
            if (kept > 0) {
                shares.put(e.getKey(), kept);
            }
        }
        FailureDomainId next = domainWithMostFreeTargets(shares, targetsPerReplica);
        while (assigned < replicas && next != null) {
            shares.merge(next.value(), 1, Integer::sum);
            freeTargets.merge(next, -targetsPerReplica, Integer::sum);
            assigned++;
            next = domainWithMostFreeTargets(shares, targetsPerReplica);
        }
        return shares;
    }

    /** Returns one if an overcommitted domain can move a replica to another domain in this round, else zero. */
    private int replicasToMove(FailureDomainId domain, int assigned, int targetsPerReplica) {
        if (assigned == 0 || !overcommitted.contains(domain) || freeTargets.get(domain) >= 0) {
            return 0;
        }
        for (Map.Entry<FailureDomainId, Integer> e : freeTargets.entrySet()) {
            if (!e.getKey().equals(domain) && e.getValue() >= targetsPerReplica) {
                return 1;
            }
        }
        return 0;
    }

    private FailureDomainId domainWithMostFreeTargets(Map<String, Integer> shares, int targetsPerReplica) {
        FailureDomainId best = null;
        for (FailureDomainId d : freeTargets.keySet()) {
            boolean fits = freeTargets.get(d) >= targetsPerReplica;
            if (fits && (best == null || hasMoreFreeTargets(d, best, shares))) {
                best = d;
            }
        }
        return best;
    }

    private boolean hasMoreFreeTargets(FailureDomainId a, FailureDomainId b, Map<String, Integer> shares) {
        int byFreeTargets = Integer.compare(freeTargets.get(a), freeTargets.get(b));
        if (byFreeTargets != 0) {
            return byFreeTargets > 0;
        }
        return shares.getOrDefault(a.value(), 0) < shares.getOrDefault(b.value(), 0);
    }
}
