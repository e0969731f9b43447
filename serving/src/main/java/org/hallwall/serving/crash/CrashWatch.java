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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Keeps requests that end targets from being sent on: it finds out which targets have ended under which requests, tells the log, and holds
 * back what all entries together have seen too often. Used on the I/O thread only, but for the methods that say so.
 */
public final class CrashWatch {

    private static final Logger LOG = Logger.getLogger(CrashWatch.class);

    /** When a caller retries if nobody can say more, in milliseconds: elections and cuts are over by then for the most part. */
    private static final long ALONE_MILLIS = 10_000;

    /**
     * How often a target is asked about that was left with a request, or answered just after it broke one off, in milliseconds: it may end
     * behind that, and then nobody is there to see it. Costs up to five connections for a request that was left.
     */
    private static final long ASK_AGAIN_MILLIS = 2_000;

    /** Questions in progress at most, so that a failure domain that goes dark does not cost a burst of connections. */
    private static final int MOST_ASKED = 16;

    /** Requests named in a log line at most. */
    private static final int MOST_NAMED = 8;

    /** Digests of survivors kept for the log at most. */
    private static final int MOST_SURVIVED = 1_024;

    private final CrashPeers peers;
    private final Executor io;
    private final Ticker ticker;
    private final KnownSuspects known = new KnownSuspects();
    private final BadEndings endings = new BadEndings();
    private final RecentAnswers answers = new RecentAnswers();
    private final List<EndedTarget> unlogged = new ArrayList<>();
    private final Set<RequestDigest> survived = new LinkedHashSet<>();
    private final Set<InstanceId> asked = new HashSet<>();
    private final Map<RequestDigest, Long> askAgainAt = new HashMap<>();
    private final Map<InstanceId, Long> lookAgainAt = new HashMap<>();
    private boolean reporting;
    private volatile RequestDigester digester;
    private volatile long version;
    private volatile int suspects;
    private volatile long held;

    /**
     * Creates a watch that knows nothing; nothing is digested before the key is known.
     *
     * @param peers whom to ask and tell
     * @param io runs on the I/O thread
     * @param ticker the clock
     */
    public CrashWatch(CrashPeers peers, Executor io, Ticker ticker) {
        this.peers = peers;
        this.io = io;
        this.ticker = ticker;
    }

    /**
     * Takes what the log holds.
     *
     * @param news the changes
     */
    public void take(SuspectNews news) {
        if (digester == null && news.key() != null) {
            digester = new RequestDigester(news.key());
        }
        known.take(news, ticker.millis());
        version = known.version();
        suspects = known.size();
        held = known.heldCount();
        long now = ticker.millis();
        askAgainAt.keySet().removeIf(d -> !known.isHeld(d, Set.of()));
        // what others suspect may have been answered here all along
        news.changed().stream()
                .map(Suspect::digest)
                .filter(d -> answers.has(d, now))
                .forEach(this::survived);
    }

    /**
     * Gives the version of the suspects that is known here; on any thread.
     *
     * @return the version; zero if none is
     */
    public long version() {
        return version;
    }

    /**
     * Says whether what the log holds is known here, on any thread: before, an entry would send what others hold back.
     *
     * @return true if it is
     */
    public boolean isReady() {
        return digester != null;
    }

    /**
     * Gives what makes digests.
     *
     * @return the digester, or null as long as the key is not known
     */
    public RequestDigester digester() {
        return digester;
    }

    /**
     * Says whether any request is a suspect, so that all have to be looked at.
     *
     * @return true if so
     */
    public boolean isWatching() {
        return digester != null && !(known.isEmpty() && endings.isEmpty());
    }

    /**
     * Says whether a request is held back.
     *
     * @param digest the request, or null if it was not digested
     * @param brokenOffBy targets that have just broken off this very request; they count as ended, since waiting for the proof would
     *     cost one more
     * @return true if it must not be sent
     */
    public boolean isHeld(RequestDigest digest, Set<InstanceId> brokenOffBy) {
        return digest != null && known.isHeld(digest, brokenOffBy);
    }

    /**
     * Lets a request pass, unless it is held back; one that is held back is tried if the log grants that.
     *
     * @param digest the request, or null if it was not digested
     * @return empty if it may be sent; else how long its caller should stay away, in milliseconds
     */
    public Mono<Long> holdBackMillis(RequestDigest digest) {
        if (!isHeld(digest, Set.of())) {
            return Mono.empty();
        }
        long left = askAgainAt.getOrDefault(digest, 0L) - ticker.millis();
        if (left > 0) {
            return Mono.just(left);
        }
        // until the answer, others of its kind are not asked about
        askAgainAt.put(digest, ticker.millis() + ALONE_MILLIS);
        return peers.mayTry(digest)
                .defaultIfEmpty(new CrashPeers.Trial(false, ALONE_MILLIS))
                .publishOn(Schedulers.fromExecutor(io))
                .flatMap(t -> {
                    long again = Math.max(ALONE_MILLIS, t.againMillis());
                    askAgainAt.put(digest, ticker.millis() + again);
                    return t.granted() ? Mono.empty() : Mono.just(again);
                });
    }

    /**
     * Tells by what a request is held back, for logs and callers.
     *
     * @param digest the request
     * @return the targets, and how long the last end is known
     */
    public String describe(RequestDigest digest) {
        long at = known.takenAt(digest);
        String age = at == 0 ? "seen here only" : "the last known here for " + (ticker.millis() - at) + " ms";
        return "held back as " + digest + ": " + new TreeSet<>(known.targets(digest, Set.of()))
                + " ended under it and none has survived it, " + age + ", suspects of version " + version;
    }

    /**
     * Notes that a target has broken off a request; whether it has ended is found out.
     *
     * @param target the start of the target
     * @param digest the request, or null if the key is not known
     */
    public void cut(InstanceId target, RequestDigest digest) {
        if (digest == null) {
            return;
        }
        endings.add(target, digest, ticker.millis());
        if (asked.add(target)) {
            peers.answers(target)
                    .subscribe(answers -> io.execute(() -> {
                        asked.remove(target);
                        if (!answers) {
                            gone(target);
                        }
                    }));
        }
    }

    /**
     * Notes that a request was given up here while a target may have run it.
     *
     * @param target the start of the target
     * @param digest the request, or null if the key is not known
     */
    public void left(InstanceId target, RequestDigest digest) {
        if (digest != null) {
            endings.add(target, digest, ticker.millis());
        }
    }

    /**
     * Notes that nothing listens any more where a target was.
     *
     * @param target the start of the target
     */
    public void gone(InstanceId target) {
        long now = ticker.millis();
        List<RequestDigest> running = endings.take(target, now).stream()
                .filter(d -> !answers.has(d, now))
                .toList();
        if (running.isEmpty()) {
            return;
        }
        LOG.infof(
                "crashes: target %s has ended under %d requests: %s",
                target, running.size(), running.stream().limit(MOST_NAMED).toList());
        known.ended(target, running);
        if (unlogged.stream().mapToInt(e -> e.running().size()).sum() < KnownSuspects.MOST_OWN) {
            unlogged.add(new EndedTarget(target, running));
        }
        // a suspect's other targets are looked at now, since it may be sent to the next one within milliseconds
        endings.targetsOf(Set.copyOf(running)).forEach(t -> lookAgain(t, now));
        report();
    }

    /**
     * Notes that a target has answered a request and lives.
     *
     * @param digest the request, or null if it was not digested
     */
    public void survived(RequestDigest digest) {
        if (digest == null) {
            return;
        }
        answers.note(digest, ticker.millis());
        endings.survived(digest);
        if (known.survived(digest) && survived.size() < MOST_SURVIVED) {
            survived.add(digest);
            report();
        }
    }

    /** Looks for proofs that came another way, and tells the log again what it has not taken; called some times a second. */
    public void tick() {
        long now = ticker.millis();
        endings.forgetOld(now);
        Set<InstanceId> open = endings.targets();
        lookAgainAt.keySet().retainAll(open);
        for (InstanceId target : open) {
            if (peers.hasStartedAgain(target)) {
                gone(target);
            } else if (now >= lookAgainAt.computeIfAbsent(target, t -> now + ASK_AGAIN_MILLIS)) {
                lookAgain(target, now);
            }
        }
        report();
    }

    private void lookAgain(InstanceId target, long now) {
        if (asked.size() >= MOST_ASKED || !asked.add(target)) {
            return;
        }
        lookAgainAt.put(target, now + ASK_AGAIN_MILLIS);
        peers.refuses(target)
                .subscribe(refused -> io.execute(() -> {
                    asked.remove(target);
                    if (refused) {
                        gone(target);
                    }
                }));
    }

    private void report() {
        if (reporting || unlogged.isEmpty() && survived.isEmpty()) {
            return;
        }
        reporting = true;
        List<EndedTarget> ended = List.copyOf(unlogged);
        List<RequestDigest> well = List.copyOf(survived);
        peers.report(ended, well).defaultIfEmpty(0L).subscribe(at -> io.execute(() -> reported(ended, well, at)));
    }

    private void reported(List<EndedTarget> ended, List<RequestDigest> well, long at) {
        reporting = false;
        if (at == 0) {
            return;
        }
        unlogged.removeAll(ended);
        survived.removeAll(well);
        ended.forEach(known::logged);
        report();
    }

    /**
     * Counts the suspects; on any thread.
     *
     * @return how many the log holds, as far as is known here
     */
    public int suspects() {
        return suspects;
    }

    /**
     * Counts the requests that are held back; on any thread.
     *
     * @return how many
     */
    public long held() {
        return held;
    }
}
