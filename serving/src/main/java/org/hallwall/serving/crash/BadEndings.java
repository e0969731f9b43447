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
 * Requests that had no good end at a target of which it is not known yet whether it has ended. Not thread-safe.
 *
 * <p>A target that ends closes its connections at once, and so may one that lives; the next connection tells them apart.
 */
final class BadEndings {

    /**
     * How long the proof is awaited, in milliseconds: a refused connection gives it at once, the announcement of a later start after the
     * seconds that targets take to come back.
     */
    private static final long PROOF_MILLIS = 10_000;

    /** Requests kept at most; more than an entry has in progress. */
    private static final int MOST = 2_048;

    private final Map<InstanceId, List<Ending>> byTarget = new HashMap<>();
    private int count;

    void add(InstanceId target, RequestDigest digest, long now) {
        if (count < MOST) {
            byTarget.computeIfAbsent(target, t -> new ArrayList<>()).add(new Ending(digest, now + PROOF_MILLIS));
            count++;
        }
    }

    /** Takes the requests of a target that has ended, each once. */
    List<RequestDigest> take(InstanceId target, long now) {
        List<Ending> all = byTarget.remove(target);
        if (all == null) {
            return List.of();
        }
        count -= all.size();
        return all.stream()
                .filter(e -> now <= e.until())
                .map(Ending::digest)
                .distinct()
                .toList();
    }

    /** Forgets a request that a target has survived. */
    void survived(RequestDigest digest) {
        removeIf(e -> e.digest().equals(digest));
    }

    void forgetOld(long now) {
        removeIf(e -> now > e.until());
    }

    private void removeIf(Predicate<Ending> filter) {
        Iterator<List<Ending>> lists = byTarget.values().iterator();
        while (lists.hasNext()) {
            List<Ending> list = lists.next();
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

    /** Lists the targets where any of these requests had no good end. */
    List<InstanceId> targetsOf(Collection<RequestDigest> digests) {
        return byTarget.entrySet().stream()
                .filter(t -> t.getValue().stream().anyMatch(e -> digests.contains(e.digest())))
                .map(Map.Entry::getKey)
                .toList();
    }

    boolean isEmpty() {
        return count == 0;
    }

    private record Ending(RequestDigest digest, long until) {}
}
