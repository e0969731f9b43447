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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.jboss.logging.Logger;

/**
 * The replicated state machine of requests and prompt parts suspected of crashing targets. Deterministic: it reads no clock and does no I/O.
 *
 * <p>A request or prompt part is a suspect from the first target that crashes while running it until a target answers it. It is held back
 * after {@value #HOLD_THRESHOLD} crashes that are not attributed to others: to a suspect that is held already, to one whose response the
 * target had just begun to write when it crashed, or, for a part that targets answered earlier, to one that none has answered yet. Of
 * suspects with the same evidence, the one that affects the fewest requests is held first. So neither requests that merely ran on the same
 * targets nor parts that they share are held.
 */
public final class CrashLedger {

    /** Crashes without an answer in between that hold a suspect, unless others account for them. */
    static final int HOLD_THRESHOLD = 3;

    /**
     * Crashes that hold a request, not a prompt part, even if another held request accounts for them, so that two crashing requests that
     * always run together are both held. An innocent request that is not popular reaches no more targets anyway: a
     * client tries twice, and each try is sent to two targets.
     */
    static final int UNCONDITIONAL_HOLD_THRESHOLD = 4;

    /**
     * Crashes that hold a prompt part if the targets had written a part of the response to each. When many targets crash at once, a few
     * of them have always just answered the same part.
     */
    static final int ESTABLISHED_HOLD_THRESHOLD = 5;

    /** A suspect not seen for a day is dropped; jobs scheduled daily are still recognised. */
    private static final long EXPIRY_MILLIS = 86_400_000;

    /** Maximum number of suspects; those with the fewest crashes are evicted first and held ones last. */
    static final int MAX_SUSPECTS = 4_096;

    /** Removals kept for incremental updates; an entry that has missed more gets the full state. */
    private static final int MAX_REMOVALS = 1_024;

    private static final Logger LOG = Logger.getLogger(CrashLedger.class);

    private static final Comparator<ReplicatedSuspect> BY_EVIDENCE = Comparator.comparing(
                    (ReplicatedSuspect s) -> !s.proven())
            .thenComparing(s -> s.begun().size())
            .thenComparing(s -> s.targets().size())
            .reversed()
            .thenComparing(s -> s.digest().kind())
            .thenComparing(ReplicatedSuspect::digest);

    private final Map<Fingerprint, ReplicatedSuspect> suspects = new HashMap<>();
    private final Deque<Removal> removals = new ArrayDeque<>();
    private byte[] key;
    private long version;
    private long lastDroppedRemoval;

    /**
     * Applies a command.
     *
     * @param c the command
     * @return true if the command requests a trial and it is granted
     */
    public synchronized boolean apply(CrashCommand c) {
        if (c.key() != null && key == null) {
            key = c.key();
            version++;
        }
        removeExpired(c.at());
        c.ended().forEach(e -> applyCrash(e, c.at()));
        c.survived().forEach(d -> applyExoneration(new Exoneration(d, Long.MAX_VALUE), c.at()));
        c.exonerations().forEach(e -> applyExoneration(e, c.at()));
        return c.trial() != null && applyTrial(c.trial(), c.at());
    }

    private void applyCrash(CrashedTarget e, long at) {
        List<ReplicatedSuspect> updated = new ArrayList<>();
        // a report of earlier answers only; it may arrive after the part has been cleared
        boolean onlyProven = e.running().equals(e.proven());
        for (Fingerprint d : e.running()) {
            if (onlyProven && !suspects.containsKey(d)) {
                continue;
            }
            ReplicatedSuspect s = suspects.getOrDefault(d, ReplicatedSuspect.create(d, at));
            if (!s.covers(e)) {
                updated.add(s.withCrash(e, at, ++version));
            }
        }
        updated.forEach(s -> suspects.put(s.digest(), s));
        holdEligible(updated, at);
        evictSurplus();
    }

    /** Holds suspects in descending order of evidence, since a held suspect accounts for crashes of the others. */
    private void holdEligible(List<ReplicatedSuspect> candidates, long at) {
        candidates.sort(BY_EVIDENCE);
        for (ReplicatedSuspect s : candidates) {
            if (!s.held() && shouldHold(s)) {
                suspects.put(s.digest(), s.withHold(at, ++version));
                releaseExplained(s);
                LOG.warnf(
                        "crashes: %s %s is held back: %s ended under it, none survived it",
                        s.digest().kind().label(), s.digest(), s.targets());
            }
        }
    }

    /** Releases prompt parts that were held before, if the crashes of a part with more of them account for theirs. */
    private void releaseExplained(ReplicatedSuspect newlyHeld) {
        List<ReplicatedSuspect> explained = suspects.values().stream()
                .filter(s -> s.held() && s.digest().kind() == Fingerprint.Kind.PROMPT_PART)
                .filter(s -> !s.digest().equals(newlyHeld.digest()))
                .filter(s -> new CrashAttribution(suspects.values())
                                .crashesBesideLargerHeldParts(s)
                                .size()
                        < HOLD_THRESHOLD)
                .sorted(Comparator.comparing(ReplicatedSuspect::digest))
                .toList();
        for (ReplicatedSuspect s : explained) {
            suspects.put(s.digest(), s.withoutHold(++version));
            LOG.warnf(
                    "crashes: prompt part %s is no longer held back: %s accounts for its crashes",
                    s.digest(), newlyHeld.digest());
        }
    }

    private boolean shouldHold(ReplicatedSuspect s) {
        if (s.targets().size() < HOLD_THRESHOLD) {
            return false;
        }
        boolean request = s.digest().kind() == Fingerprint.Kind.REQUEST;
        if (request && s.targets().size() >= UNCONDITIONAL_HOLD_THRESHOLD) {
            return true;
        }
        List<InstanceId> own = new CrashAttribution(suspects.values()).ownCrashes(s);
        boolean weak = !request && s.established().containsAll(own);
        boolean hold = own.size() >= (weak ? ESTABLISHED_HOLD_THRESHOLD : HOLD_THRESHOLD);
        if (!hold) {
            LOG.infof(
                    "crashes: %s %s is not held back: of %d crashes %s are not attributed to others%s",
                    s.digest().kind().label(),
                    s.digest(),
                    s.targets().size(),
                    own,
                    s.proven() ? ", it was answered before" : "");
        }
        return hold;
    }

    private void applyExoneration(Exoneration e, long at) {
        Fingerprint d = e.digest();
        ReplicatedSuspect before = suspects.get(d);
        if (before == null || !before.hasCrashUntil(e.version())) {
            return;
        }
        ReplicatedSuspect after = before.withoutCrashesUntil(e.version(), HOLD_THRESHOLD, version + 1);
        if (after.targets().isEmpty()) {
            remove(d);
        } else {
            version++;
            suspects.put(d, after);
        }
        LOG.infof(
                "crashes: %s %s was answered at version %d: %d of %d crashes still count",
                d.kind().label(),
                d,
                e.version(),
                after.targets().size(),
                before.targets().size());
        if (before.held() && !after.held()) {
            LOG.warnf(
                    "crashes: %s %s is no longer held back: a target has survived it",
                    d.kind().label(), d);
            // the crashes attributed to it count against the other suspects again
            holdEligible(new ArrayList<>(suspects.values()), at);
        }
    }

    private boolean applyTrial(Fingerprint d, long at) {
        ReplicatedSuspect s = suspects.get(d);
        if (s == null) {
            return false;
        }
        boolean due = s.isTrialDue(at);
        suspects.put(d, s.withRetry(at));
        if (due) {
            LOG.warnf(
                    "crashes: %s %s is granted trial %d since it is held back",
                    d.kind().label(), d, s.trials() + 1);
        }
        return due;
    }

    private void removeExpired(long at) {
        List<Fingerprint> expired = suspects.values().stream()
                .filter(s -> at - s.seenAt() > EXPIRY_MILLIS)
                .map(ReplicatedSuspect::digest)
                .sorted()
                .toList();
        expired.forEach(this::remove);
    }

    private void evictSurplus() {
        int surplus = suspects.size() - MAX_SUSPECTS;
        if (surplus <= 0) {
            return;
        }
        List<Fingerprint> evicted = suspects.values().stream()
                .sorted(Comparator.comparing(ReplicatedSuspect::held)
                        .thenComparing(s -> s.targets().size())
                        .thenComparing(ReplicatedSuspect::seenAt)
                        .thenComparing(ReplicatedSuspect::digest))
                .limit(surplus)
                .map(ReplicatedSuspect::digest)
                .toList();
        evicted.forEach(this::remove);
    }

    private void remove(Fingerprint d) {
        suspects.remove(d);
        removals.addLast(new Removal(++version, d));
        if (removals.size() > MAX_REMOVALS) {
            lastDroppedRemoval = removals.removeFirst().version();
        }
    }

    /**
     * Returns the digest key.
     *
     * @return the key, or null if none is set
     */
    public synchronized byte[] key() {
        return key;
    }

    /**
     * Returns the version of the state.
     *
     * @return the version; zero before the first command
     */
    public synchronized long version() {
        return version;
    }

    /**
     * Returns the changes since a version.
     *
     * @param after the version that the entry has
     * @return the changes, or null if there are none
     */
    public synchronized SuspectUpdate changesSince(long after) {
        if (after >= version) {
            return null;
        }
        boolean full = after == 0 || after < lastDroppedRemoval;
        List<Suspect> changed = suspects.values().stream()
                .filter(s -> full || s.version() > after)
                .map(ReplicatedSuspect::toSuspect)
                .toList();
        List<Fingerprint> removed = full
                ? List.of()
                : removals.stream()
                        .filter(r -> r.version() > after && !suspects.containsKey(r.digest()))
                        .map(Removal::digest)
                        .distinct()
                        .toList();
        return new SuspectUpdate(key, version, full, changed, removed);
    }

    /**
     * Returns the time until the next trial of a held request.
     *
     * @param digest the request
     * @param now the wall clock in milliseconds
     * @return the time in milliseconds, at most a day; zero if a trial is due
     */
    public synchronized long millisUntilTrial(Fingerprint digest, long now) {
        ReplicatedSuspect s = suspects.get(digest);
        return s == null ? 0 : Math.max(0, Math.min(s.nextTrialAt() - now, EXPIRY_MILLIS));
    }

    /**
     * Returns the time since a suspect was last reported or sent again.
     *
     * @param digest the request
     * @param now the wall clock in milliseconds
     * @return the time in milliseconds; zero if the request is not a suspect
     */
    public synchronized long millisSinceSeen(Fingerprint digest, long now) {
        ReplicatedSuspect s = suspects.get(digest);
        return s == null ? 0 : now - s.seenAt();
    }

    /**
     * Lists the held requests.
     *
     * @return the held requests
     */
    public synchronized Collection<Suspect> held() {
        return suspects.values().stream()
                .filter(ReplicatedSuspect::held)
                .map(ReplicatedSuspect::toSuspect)
                .toList();
    }

    /**
     * Encodes the state as a snapshot.
     *
     * @return the snapshot
     */
    public synchronized byte[] snapshot() {
        return CrashCommand.write(new Snapshot(key, version, List.copyOf(suspects.values())));
    }

    /**
     * Replaces the state by a snapshot. Removals are not part of it, so entries with an older version get the full state.
     *
     * @param bytes the snapshot
     */
    public synchronized void restore(byte[] bytes) {
        Snapshot s = CrashCommand.read(bytes, Snapshot.class);
        key = s.key();
        version = s.version();
        lastDroppedRemoval = s.version();
        removals.clear();
        suspects.clear();
        s.suspects().forEach(h -> suspects.put(h.digest(), h));
    }

    private record Removal(long version, Fingerprint digest) {}

    /** The stored form of the state. */
    private record Snapshot(byte[] key, long version, List<ReplicatedSuspect> suspects) {}
}
