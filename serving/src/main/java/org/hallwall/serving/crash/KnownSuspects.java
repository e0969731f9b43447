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

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.InstanceId;

/**
 * What one entry knows of requests that end targets: what the log holds, and what it has seen itself and the log does not hold yet.
 * Both count together, so that an entry that reaches no control instance goes by what it has seen. Not thread-safe.
 */
final class KnownSuspects {

    /** What is kept for the log at most, in requests; more than run here at a few ends of targets. */
    static final int MOST_OWN = 1_024;

    private final Map<RequestDigest, Suspect> logged = new HashMap<>();
    private final Map<RequestDigest, Long> takenAt = new HashMap<>();
    private final Map<RequestDigest, Set<InstanceId>> own = new LinkedHashMap<>();
    private long version;

    /** Takes changes at a time of the clock; those that are known already are passed over. */
    void take(SuspectNews news, long now) {
        if (news.version() <= version) {
            return;
        }
        if (news.whole()) {
            logged.clear();
            takenAt.clear();
        }
        news.removed().forEach(this::forget);
        news.changed().forEach(s -> {
            logged.put(s.digest(), s);
            takenAt.put(s.digest(), now);
        });
        version = news.version();
    }

    private Suspect forget(RequestDigest digest) {
        takenAt.remove(digest);
        return logged.remove(digest);
    }

    /** Gives when the last change of a suspect was learned, by the clock; zero if the log does not hold it here. */
    long takenAt(RequestDigest digest) {
        return takenAt.getOrDefault(digest, 0L);
    }

    long version() {
        return version;
    }

    boolean isEmpty() {
        return logged.isEmpty() && own.isEmpty();
    }

    /** Notes an end that the log is not known to hold yet. */
    void ended(InstanceId target, List<RequestDigest> running) {
        for (RequestDigest d : running) {
            if (own.containsKey(d) || own.size() < MOST_OWN) {
                own.computeIfAbsent(d, x -> new HashSet<>()).add(target);
            }
        }
    }

    /** The log holds this end. */
    void logged(EndedTarget e) {
        for (RequestDigest d : e.running()) {
            Set<InstanceId> targets = own.get(d);
            if (targets != null) {
                targets.remove(e.target());
                if (targets.isEmpty()) {
                    own.remove(d);
                }
            }
        }
    }

    /**
     * Notes that a target has survived a request.
     *
     * @return whether it was a suspect
     */
    boolean survived(RequestDigest digest) {
        boolean seen = own.remove(digest) != null;
        return forget(digest) != null || seen;
    }

    boolean isSuspect(RequestDigest digest) {
        return logged.containsKey(digest) || own.containsKey(digest);
    }

    /**
     * Says whether a request is held back.
     *
     * @param digest the request
     * @param alsoUnder targets that have likely ended under it besides, and of which there is no proof yet
     */
    boolean isHeld(RequestDigest digest, Set<InstanceId> alsoUnder) {
        Suspect s = logged.get(digest);
        if (s != null && s.held()) {
            return true;
        }
        boolean news = own.containsKey(digest) || !alsoUnder.isEmpty();
        return news && targets(digest, alsoUnder).size() >= CrashLedger.ENDED_TO_HOLD;
    }

    /** Lists the targets that have ended under a request. */
    Set<InstanceId> targets(RequestDigest digest, Set<InstanceId> alsoUnder) {
        Set<InstanceId> all = new HashSet<>(alsoUnder);
        Suspect s = logged.get(digest);
        if (s != null) {
            all.addAll(s.targets());
        }
        all.addAll(own.getOrDefault(digest, Set.of()));
        return all;
    }

    int size() {
        return logged.size();
    }

    long heldCount() {
        return logged.values().stream().filter(Suspect::held).count();
    }
}
