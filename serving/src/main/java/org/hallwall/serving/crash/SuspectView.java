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
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.hallwall.core.id.InstanceId;

/**
 * An entry's view of the suspects: the replicated ones, and crashes seen by this entry that are not yet known to be in the log. Both count
 * together, so that an entry without a connection to a control instance still acts on its own observations. Not thread-safe.
 */
final class SuspectView {

    /** Maximum number of fingerprints with crashes that are not in the log yet. */
    static final int MAX_UNLOGGED = 1_024;

    private final Map<Fingerprint, Suspect> logged = new HashMap<>();
    private final Map<Fingerprint, Long> updatedAt = new HashMap<>();
    private final Map<Fingerprint, Long> knownSince = new HashMap<>();
    private final Map<Fingerprint, Map<InstanceId, Long>> unlogged = new LinkedHashMap<>();
    private final Set<InstanceId> attributed = new HashSet<>();
    private long version;

    /** Applies changes unless they have been applied already. */
    void applyUpdate(SuspectUpdate update, long now) {
        if (update.version() <= version) {
            return;
        }
        if (update.whole()) {
            logged.clear();
            updatedAt.clear();
            knownSince
                    .keySet()
                    .retainAll(update.changed().stream().map(Suspect::digest).collect(Collectors.toSet()));
        }
        update.removed().forEach(this::removeLogged);
        update.changed().forEach(s -> {
            logged.put(s.digest(), s);
            updatedAt.put(s.digest(), now);
            knownSince.putIfAbsent(s.digest(), now);
        });
        version = update.version();
        attributed.clear();
        logged.values().stream().filter(Suspect::held).forEach(s -> attributed.addAll(s.targets()));
    }

    private void removeLogged(Fingerprint digest) {
        updatedAt.remove(digest);
        knownSince.remove(digest);
        logged.remove(digest);
    }

    /** Returns the ticker time of a suspect's last update; zero if the suspect is not replicated. */
    long updatedAt(Fingerprint digest) {
        return updatedAt.getOrDefault(digest, 0L);
    }

    long version() {
        return version;
    }

    boolean isEmpty() {
        return logged.isEmpty() && unlogged.isEmpty();
    }

    /**
     * Adds a crash that is not yet known to be in the log. Requests with established responses are left out if the target had just begun
     * to write others, as the log does not count such a crash against them either; prompt parts with established responses always, since
     * only the log knows what the target had begun to write for other entries.
     */
    void addCrash(CrashedTarget crash, long now) {
        List<Fingerprint> suspected = new ArrayList<>(crash.running());
        suspected.removeIf(d -> crash.established().contains(d)
                && (!isRequest(d) || !crash.begun().isEmpty()));
        for (Fingerprint d : suspected) {
            if (unlogged.containsKey(d) || unlogged.size() < MAX_UNLOGGED) {
                unlogged.computeIfAbsent(d, x -> new HashMap<>()).put(crash.target(), now);
            }
        }
    }

    /** Drops the local copy of a crash that the log has committed. */
    void markLogged(CrashedTarget e) {
        for (Fingerprint d : e.running()) {
            removeUnlogged(d, t -> t.getKey().equals(e.target()));
        }
    }

    private void removeUnlogged(Fingerprint digest, Predicate<Map.Entry<InstanceId, Long>> filter) {
        Map<InstanceId, Long> crashes = unlogged.get(digest);
        if (crashes != null) {
            crashes.entrySet().removeIf(filter);
            if (crashes.isEmpty()) {
                unlogged.remove(digest);
            }
        }
    }

    /** Removes the crashes before an answer; those in the log only if all of them were known then. */
    void removeAnswered(Fingerprint digest, ResponseStart answer) {
        removeUnlogged(digest, c -> c.getValue() <= answer.at());
        if (answer.version() >= version) {
            removeLogged(digest);
        }
    }

    /** Returns whether some crash of a suspect was known here before a time. */
    boolean isSuspectedBefore(Fingerprint digest, long time) {
        boolean here = unlogged.getOrDefault(digest, Map.of()).values().stream().anyMatch(at -> at < time);
        return here || knownSince.getOrDefault(digest, Long.MAX_VALUE) < time;
    }

    boolean isSuspect(Fingerprint digest) {
        return logged.containsKey(digest) || unlogged.containsKey(digest);
    }

    /**
     * Returns whether a request or prompt part is held back.
     *
     * @param digest the request or prompt part
     * @param assumedCrashed further targets that are assumed to have crashed, without confirmation
     */
    boolean isHeld(Fingerprint digest, Set<InstanceId> assumedCrashed) {
        Suspect s = logged.get(digest);
        if (isHeldByLog(digest)) {
            return true;
        }
        if (!unlogged.containsKey(digest) && (assumedCrashed.isEmpty() || s == null && !isRequest(digest))) {
            return false;
        }
        Set<InstanceId> crashed = crashedTargets(digest, assumedCrashed);
        if (!isRequest(digest)) {
            crashed.removeAll(attributed);
        }
        return crashed.size() >= CrashLedger.HOLD_THRESHOLD;
    }

    /** Returns whether the log holds a request or prompt part back. */
    boolean isHeldByLog(Fingerprint digest) {
        Suspect s = logged.get(digest);
        return s != null && s.held();
    }

    private static boolean isRequest(Fingerprint fingerprint) {
        return fingerprint.kind() == Fingerprint.Kind.REQUEST;
    }

    /** Returns the targets that crashed while running a request. */
    Set<InstanceId> crashedTargets(Fingerprint digest, Set<InstanceId> assumedCrashed) {
        Set<InstanceId> all = new HashSet<>(assumedCrashed);
        Suspect s = logged.get(digest);
        if (s != null) {
            all.addAll(s.targets());
        }
        all.addAll(unlogged.getOrDefault(digest, Map.of()).keySet());
        return all;
    }

    int size() {
        return logged.size();
    }

    long heldCount() {
        return logged.values().stream().filter(Suspect::held).count();
    }
}
