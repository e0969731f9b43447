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
package org.hallwall.serving.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.hallwall.core.id.InstanceId;

/** Attributes the crashes of a suspect to other suspects that account for them better. */
final class CrashAttribution {

    /**
     * Crashing prompt parts that may share a sound one. Without a bound, parts that come with a single request each would account for all
     * crashes of a part that targets answered earlier.
     */
    static final int MAX_SHARING_PARTS = 3;

    /** Crashing requests that may share a sound prompt part; more of them have the part in common that crashes the targets. */
    private static final int MAX_SHARING_REQUESTS = 1;

    private final Collection<ReplicatedSuspect> suspects;

    CrashAttribution(Collection<ReplicatedSuspect> suspects) {
        this.suspects = suspects;
    }

    /** Returns the crashes of a suspect that are not attributed to others. */
    List<InstanceId> ownCrashes(ReplicatedSuspect s) {
        Set<InstanceId> attributed = new HashSet<>();
        List<Collection<InstanceId>> sharingParts = new ArrayList<>();
        List<Collection<InstanceId>> sharingRequests = new ArrayList<>();
        for (ReplicatedSuspect other : suspects) {
            if (other.digest().equals(s.digest())) {
                continue;
            }
            if (other.held() && isProvenPart(s) && !isPart(other)) {
                sharingRequests.add(other.targets());
            } else if (other.held() && !accountsForMoreThan(s, other)) {
                attributed.addAll(other.targets());
            }
            if (isProvenPart(s) && isPart(other) && !other.proven()) {
                sharingParts.add(other.begun());
            }
            other.begun().stream().filter(t -> !s.isCloseTo(t)).forEach(attributed::add);
        }
        addLargest(sharingParts, MAX_SHARING_PARTS, s, attributed);
        addLargest(sharingRequests, MAX_SHARING_REQUESTS, s, attributed);
        return s.targets().stream().filter(t -> !attributed.contains(t)).toList();
    }

    /** Returns the crashes of a held prompt part that no held part with more crashes accounts for. */
    List<InstanceId> crashesBesideLargerHeldParts(ReplicatedSuspect s) {
        Set<InstanceId> attributed = new HashSet<>();
        for (ReplicatedSuspect other : suspects) {
            if (other.held()
                    && isPart(other)
                    && other.targets().size() > s.targets().size()) {
                attributed.addAll(other.targets());
            }
        }
        return s.targets().stream().filter(t -> !attributed.contains(t)).toList();
    }

    /** Adds the sets that account for the most crashes, one after the other. */
    private static void addLargest(
            List<Collection<InstanceId>> sets, int most, ReplicatedSuspect s, Set<InstanceId> attributed) {
        for (int i = 0; i < most; i++) {
            Collection<InstanceId> largest = List.of();
            long covered = 0;
            for (Collection<InstanceId> set : sets) {
                long count = set.stream()
                        .filter(t -> s.targets().contains(t) && !attributed.contains(t))
                        .count();
                if (count > covered) {
                    largest = set;
                    covered = count;
                }
            }
            attributed.addAll(largest);
        }
    }

    private static boolean isPart(ReplicatedSuspect s) {
        return s.digest().kind() == Fingerprint.Kind.PROMPT_PART;
    }

    /** Returns whether targets answered a prompt part earlier, so that sound requests may share it with crashing ones. */
    private static boolean isProvenPart(ReplicatedSuspect s) {
        return isPart(s) && s.proven();
    }

    /**
     * Returns whether a prompt part accounts for more crashes than another suspect: than another part that may have been held by chance,
     * or than a request all of whose crashes it shares.
     */
    private static boolean accountsForMoreThan(ReplicatedSuspect s, ReplicatedSuspect other) {
        return isPart(s)
                && !s.proven()
                && s.targets().size() > other.targets().size()
                && (isPart(other) || s.targets().containsAll(other.targets()));
    }
}
