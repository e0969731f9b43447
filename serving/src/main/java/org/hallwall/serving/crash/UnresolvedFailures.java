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
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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

    /** Bounds the memory when many requests with many prompt parts fail. */
    private static final int MAX_FINGERPRINTS = 16_384;

    private final Map<InstanceId, List<Failure>> byTarget = new HashMap<>();
    private int count;

    void add(InstanceId target, RequestFeatures features, ResponseProgress progress, long now) {
        if (count < MAX_FINGERPRINTS) {
            Set<Fingerprint> suspects = suspects(features, progress);
            byTarget.computeIfAbsent(target, t -> new ArrayList<>()).add(new Failure(suspects, progress, now));
            count += suspects.size();
        }
    }

    /** A target crashes on a prompt part when it begins to write, but may crash on a request at any time. */
    private static Set<Fingerprint> suspects(RequestFeatures features, ResponseProgress progress) {
        Stream<Fingerprint> all =
                progress == ResponseProgress.ESTABLISHED ? Stream.of(features.request()) : features.all();
        return all.collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /**
     * Removes a crashed target and returns what was running there. If the target had just begun to write responses, only their prompt
     * parts are included, and not those of requests that waited.
     */
    CrashedTarget removeTarget(InstanceId target, long now) {
        List<Failure> all = byTarget.remove(target);
        if (all == null) {
            return new CrashedTarget(target, List.of());
        }
        count -= size(all);
        Set<Fingerprint> running = new LinkedHashSet<>();
        Set<Fingerprint> begun = new LinkedHashSet<>();
        Set<Fingerprint> established = new LinkedHashSet<>();
        Set<Fingerprint> waitingParts = new LinkedHashSet<>();
        for (Failure f : all) {
            if (now > f.expiresAt()) {
                continue;
            }
            boolean hasBegun = f.progress() == ResponseProgress.BEGUN;
            for (Fingerprint s : f.suspects()) {
                boolean waiting = s.kind() == Fingerprint.Kind.PROMPT_PART && !hasBegun;
                (waiting ? waitingParts : running).add(s);
            }
            if (hasBegun) {
                begun.addAll(f.suspects());
            } else if (f.progress() == ResponseProgress.ESTABLISHED) {
                established.addAll(f.suspects());
            }
        }
        if (begun.isEmpty()) {
            running.addAll(waitingParts);
        }
        return new CrashedTarget(target, List.copyOf(running), List.copyOf(begun), List.copyOf(established), List.of());
    }

    /** Removes fingerprints that a target has answered from the failures before the answer. */
    void removeAnswered(Collection<Fingerprint> answered, long startedAt) {
        if (count > 0) {
            byTarget.values().stream()
                    .flatMap(List::stream)
                    .filter(f -> f.at() <= startedAt)
                    .forEach(f -> f.suspects().removeAll(answered));
            removeIf(f -> f.suspects().isEmpty());
            count = byTarget.values().stream()
                    .mapToInt(UnresolvedFailures::size)
                    .sum();
        }
    }

    /** Removes failures that no check has confirmed in time; returns their targets. */
    Set<InstanceId> removeExpired(long now) {
        Set<InstanceId> expired = byTarget.entrySet().stream()
                .filter(t -> t.getValue().stream().anyMatch(f -> now > f.expiresAt()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        removeIf(f -> now > f.expiresAt());
        return expired;
    }

    private void removeIf(Predicate<Failure> filter) {
        Iterator<List<Failure>> lists = byTarget.values().iterator();
        while (lists.hasNext()) {
            List<Failure> list = lists.next();
            int before = size(list);
            list.removeIf(filter);
            count -= before - size(list);
            if (list.isEmpty()) {
                lists.remove();
            }
        }
    }

    private static int size(List<Failure> failures) {
        return failures.stream().mapToInt(f -> f.suspects().size()).sum();
    }

    Set<InstanceId> targets() {
        return Set.copyOf(byTarget.keySet());
    }

    /** Lists the targets at which requests with any of these fingerprints failed. */
    List<InstanceId> targetsWithAny(Collection<Fingerprint> fingerprints) {
        return byTarget.entrySet().stream()
                .filter(t -> t.getValue().stream().anyMatch(f -> !Collections.disjoint(f.suspects(), fingerprints)))
                .map(Map.Entry::getKey)
                .toList();
    }

    boolean isEmpty() {
        return count == 0;
    }

    private record Failure(Set<Fingerprint> suspects, ResponseProgress progress, long at) {

        long expiresAt() {
            return at + CONFIRMATION_MILLIS;
        }
    }
}
