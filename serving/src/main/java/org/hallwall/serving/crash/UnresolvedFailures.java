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
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.hallwall.core.id.InstanceId;

/**
 * Requests that failed at a target that may have crashed. Not thread-safe.
 *
 * <p>A live target may close a connection too, so a failure counts as a crash only once a later check confirms it.
 */
final class UnresolvedFailures {

    /**
     * How long to wait for a crash to be confirmed, in milliseconds: by a refused connection, or by the announcement
     * of a restart, which takes targets some seconds.
     */
    private static final long CONFIRMATION_MILLIS = 10_000;

    private static final int MAX_REQUESTS = 2_048;

    private final Map<InstanceId, List<Failure>> byTarget = new HashMap<>();
    private int count;

    void add(InstanceId target, RequestDigest digest, long now) {
        if (count < MAX_REQUESTS) {
            byTarget.computeIfAbsent(target, t -> new ArrayList<>())
                    .add(new Failure(digest, now + CONFIRMATION_MILLIS));
            count++;
        }
    }

    /** Removes and returns the unexpired failures of a crashed target, without duplicates. */
    List<RequestDigest> removeTarget(InstanceId target, long now) {
        List<Failure> all = byTarget.remove(target);
        if (all == null) {
            return List.of();
        }
        count -= all.size();
        return all.stream()
                .filter(e -> now <= e.expiresAt())
                .map(Failure::digest)
                .distinct()
                .toList();
    }

    /** Removes a request that a target has answered. */
    void removeRequest(RequestDigest digest) {
        removeIf(e -> e.digest().equals(digest));
    }

    void removeExpired(long now) {
        removeIf(e -> now > e.expiresAt());
    }

    private void removeIf(Predicate<Failure> filter) {
        Iterator<List<Failure>> lists = byTarget.values().iterator();
        while (lists.hasNext()) {
            List<Failure> list = lists.next();
            int before = list.size();
            list.removeIf(filter);
            count -= before - list.size();
            if (list.isEmpty()) {
                lists.remove();
            }
        }
    }

    Set<InstanceId> targets() {
        return Set.copyOf(byTarget.keySet());
    }

    /** Lists the targets at which any of these requests failed. */
    List<InstanceId> targetsWithAny(Collection<RequestDigest> digests) {
        return byTarget.entrySet().stream()
                .filter(t -> t.getValue().stream().anyMatch(e -> digests.contains(e.digest())))
                .map(Map.Entry::getKey)
                .toList();
    }

    boolean isEmpty() {
        return count == 0;
    }

    private record Failure(RequestDigest digest, long expiresAt) {}
}
