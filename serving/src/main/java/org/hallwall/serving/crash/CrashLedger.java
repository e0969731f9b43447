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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.jboss.logging.Logger;

/**
 * Which requests targets have ended under, as all voters of the log agree: the memory of the whole system, which outlives each
 * process and a loss of all power. It reads no clock and does no I/O.
 *
 * <p>A request is a suspect from the first target that ends under it until one survives it. It is held back once {@value #ENDED_TO_HOLD}
 * targets have ended under it that no other request is held back for: where many requests run on a target, its end has one cause, and
 * those that were only there are let go when the cause is known.
 */
public final class CrashLedger {

    /** So many ends without an answer in between hold a request back, if nothing else explains them. */
    static final int ENDED_TO_HOLD = 3;

    /**
     * So many hold it back even if others explain them: of two such requests that always run together, both are found. An innocent one that
     * is not popular gets no further anyway, where a caller tries twice and each try is sent to two targets.
     */
    static final int ENDED_TO_HOLD_ANYHOW = 4;

    /** After this time without a sign of it a request is forgotten, in milliseconds: a day, as callers' own schedules repeat by days. */
    private static final long FORGET_MILLIS = 86_400_000;

    /** How many suspects are kept, about 0.5 MB; those with the fewest ended targets make room, held ones last. */
    static final int MOST_SUSPECTS = 4_096;

    /** How many removals are told one by one; an entry that has missed more gets everything. */
    private static final int MOST_REMOVALS = 1_024;

    private static final Logger LOG = Logger.getLogger(CrashLedger.class);

    private final Map<RequestDigest, LoggedSuspect> suspects = new HashMap<>();
    private final Deque<Removal> removals = new ArrayDeque<>();
    private byte[] key;
    private long version;
    private long toldFrom;

    /**
     * Applies a command.
     *
     * @param c the command
     * @return whether a trial is granted; false for other commands
     */
    public synchronized boolean apply(CrashCommand c) {
        if (c.key() != null && key == null) {
            key = c.key();
            version++;
        }
        forgetOld(c.at());
        c.ended().forEach(e -> ended(e, c.at()));
        c.survived().forEach(d -> survived(d, c.at()));
        return c.trial() != null && trial(c.trial(), c.at());
    }

    private void ended(EndedTarget e, long at) {
        List<LoggedSuspect> there = new ArrayList<>();
        for (RequestDigest d : e.running()) {
            LoggedSuspect s = suspects.getOrDefault(d, LoggedSuspect.unknown(d, at));
            if (!s.targets().contains(e.target())) {
                there.add(s.endedUnder(e.target(), at, ++version));
            }
        }
        there.forEach(s -> suspects.put(s.digest(), s));
        holdThoseDue(there, at);
        makeRoom();
    }

    /** Holds back the one with most ends first: it explains ends for the others. */
    private void holdThoseDue(List<LoggedSuspect> candidates, long at) {
        candidates.sort(Comparator.comparing((LoggedSuspect s) -> s.targets().size())
                .reversed()
                .thenComparing(LoggedSuspect::digest));
        for (LoggedSuspect s : candidates) {
            if (!s.held() && isToHold(s)) {
                suspects.put(s.digest(), s.hold(at, ++version));
                LOG.warnf(
                        "crashes: request %s is held back: %s ended under it, none survived it",
                        s.digest(), s.targets());
            }
        }
    }

    private boolean isToHold(LoggedSuspect s) {
        if (s.targets().size() < ENDED_TO_HOLD) {
            return false;
        }
        Set<InstanceId> explained = new HashSet<>();
        suspects.values().stream().filter(LoggedSuspect::held).forEach(h -> explained.addAll(h.targets()));
        long unexplained =
                s.targets().stream().filter(t -> !explained.contains(t)).count();
        return unexplained >= ENDED_TO_HOLD || s.targets().size() >= ENDED_TO_HOLD_ANYHOW;
    }

    private void survived(RequestDigest d, long at) {
        LoggedSuspect s = suspects.get(d);
        if (s == null) {
            return;
        }
        remove(d);
        if (s.held()) {
            LOG.warnf("crashes: request %s is no longer held back: a target has survived it", d);
            // the ends that it explained have another cause
            holdThoseDue(new ArrayList<>(suspects.values()), at);
        }
    }

    private boolean trial(RequestDigest d, long at) {
        LoggedSuspect s = suspects.get(d);
        if (s == null) {
            return false;
        }
        boolean due = s.isTrialDue(at);
        suspects.put(d, s.sentAgain(at));
        if (due) {
            LOG.warnf("crashes: request %s is tried for the %d. time since it is held back", d, s.trials() + 1);
        }
        return due;
    }

    private void forgetOld(long at) {
        List<RequestDigest> old = suspects.values().stream()
                .filter(s -> at - s.seenAt() > FORGET_MILLIS)
                .map(LoggedSuspect::digest)
                .sorted()
                .toList();
        old.forEach(this::remove);
    }

    private void makeRoom() {
        int surplus = suspects.size() - MOST_SUSPECTS;
        if (surplus <= 0) {
            return;
        }
        List<RequestDigest> least = suspects.values().stream()
                .sorted(Comparator.comparing(LoggedSuspect::held)
                        .thenComparing(s -> s.targets().size())
                        .thenComparing(LoggedSuspect::seenAt)
                        .thenComparing(LoggedSuspect::digest))
                .limit(surplus)
                .map(LoggedSuspect::digest)
                .toList();
        least.forEach(this::remove);
    }

    private void remove(RequestDigest d) {
        suspects.remove(d);
        removals.addLast(new Removal(++version, d));
        if (removals.size() > MOST_REMOVALS) {
            toldFrom = removals.removeFirst().version();
        }
    }

    /**
     * Gives the key of the digests.
     *
     * @return the key, or null if none is set
     */
    public synchronized byte[] key() {
        return key;
    }

    /**
     * Gives the version of the state.
     *
     * @return the version; zero before the first command
     */
    public synchronized long version() {
        return version;
    }

    /**
     * Gives the changes after a version.
     *
     * @param after the version that an entry has
     * @return the changes, or null if there are none
     */
    public synchronized SuspectNews news(long after) {
        if (after >= version) {
            return null;
        }
        boolean whole = after == 0 || after < toldFrom;
        List<Suspect> changed = suspects.values().stream()
                .filter(s -> whole || s.version() > after)
                .map(LoggedSuspect::suspect)
                .toList();
        List<RequestDigest> removed = whole
                ? List.of()
                : removals.stream()
                        .filter(r -> r.version() > after && !suspects.containsKey(r.digest()))
                        .map(Removal::digest)
                        .distinct()
                        .toList();
        return new SuspectNews(key, version, whole, changed, removed);
    }

    /**
     * Says when a request that is held back may be tried.
     *
     * @param digest the request
     * @param now the time of day in milliseconds
     * @return the pause in milliseconds, not above a day; zero if a trial is due
     */
    public synchronized long trialInMillis(RequestDigest digest, long now) {
        LoggedSuspect s = suspects.get(digest);
        return s == null ? 0 : Math.max(0, Math.min(s.nextTrialAt() - now, FORGET_MILLIS));
    }

    /**
     * Says for how long the log has not heard of a request.
     *
     * @param digest the request
     * @param now the time of day in milliseconds
     * @return the time in milliseconds; zero if it is no suspect
     */
    public synchronized long unseenMillis(RequestDigest digest, long now) {
        LoggedSuspect s = suspects.get(digest);
        return s == null ? 0 : now - s.seenAt();
    }

    /**
     * Lists the requests that are held back.
     *
     * @return the requests
     */
    public synchronized Collection<Suspect> held() {
        return suspects.values().stream()
                .filter(LoggedSuspect::held)
                .map(LoggedSuspect::suspect)
                .toList();
    }

    /**
     * Makes a snapshot.
     *
     * @return the state in bytes
     */
    public synchronized byte[] snapshot() {
        return CrashCommand.write(new Snapshot(key, version, List.copyOf(suspects.values())));
    }

    /**
     * Replaces the state by a snapshot; removals before it are not known, so that entries behind it get everything.
     *
     * @param bytes the snapshot
     */
    public synchronized void restore(byte[] bytes) {
        Snapshot s = CrashCommand.read(bytes, Snapshot.class);
        key = s.key();
        version = s.version();
        toldFrom = s.version();
        removals.clear();
        suspects.clear();
        s.suspects().forEach(h -> suspects.put(h.digest(), h));
    }

    private record Removal(long version, RequestDigest digest) {}

    /** The state as it is stored. */
    private record Snapshot(byte[] key, long version, List<LoggedSuspect> suspects) {}
}
