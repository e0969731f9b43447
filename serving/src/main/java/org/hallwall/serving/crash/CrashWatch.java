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
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Detects which requests and prompt parts were running on crashed targets, reports them to the replicated log, and holds back requests that
 * have crashed too many targets or contain a prompt part that has. Not thread-safe: used on the I/O thread, except for methods documented otherwise.
 */
public final class CrashWatch {

    private static final Logger LOG = Logger.getLogger(CrashWatch.class);

    /**
     * The interval at which a target with an unresolved failure is probed, since it may crash after this entry has
     * disconnected, where no other process notices. Within the time for confirmation this costs up to five connections
     * per abandoned request.
     */
    private static final long PROBE_INTERVAL_MILLIS = 2_000;

    /** Bounds the burst of connections when a whole failure domain becomes unreachable. */
    private static final int MAX_CONCURRENT_PROBES = 16;

    private static final int MAX_LOGGED_DIGESTS = 8;

    private static final int MAX_UNREPORTED_EXONERATIONS = 1_024;

    /** Maximum number of fingerprints in the report on one target; known suspects are reported first. */
    private static final int MAX_FINGERPRINTS_PER_CRASH = 1_024;

    private final CrashPeers peers;
    private final Executor io;
    private final Ticker ticker;
    private final SuspectView suspectView = new SuspectView();
    private final UnresolvedFailures failures = new UnresolvedFailures();
    private final AnswerHistory answers = new AnswerHistory();
    private final UnconfirmedAnswers unconfirmed = new UnconfirmedAnswers();
    private final HoldBack holdBack;
    private final List<CrashedTarget> unreportedCrashes = new ArrayList<>();
    private final Map<Fingerprint, Long> unreportedExonerations = new LinkedHashMap<>();
    private final Set<InstanceId> probing = new HashSet<>();
    private final Set<InstanceId> confirming = new HashSet<>();
    private final Map<InstanceId, Long> nextProbeAt = new HashMap<>();
    private boolean reporting;
    private volatile RequestDigester digester;
    private volatile long version;
    private volatile int suspectCount;
    private volatile long heldCount;

    /**
     * Creates a watch without suspects. No request is digested before the key is known.
     *
     * @param peers the targets and the control plane
     * @param io executes tasks on the I/O thread
     * @param ticker the clock
     */
    public CrashWatch(CrashPeers peers, Executor io, Ticker ticker) {
        this.peers = peers;
        this.io = io;
        this.ticker = ticker;
        this.holdBack = new HoldBack(suspectView, answers, peers, io, ticker);
    }

    /**
     * Applies changes of the replicated suspects.
     *
     * @param update the changes
     */
    public void applyUpdate(SuspectUpdate update) {
        if (digester == null && update.key() != null) {
            digester = new RequestDigester(update.key());
        }
        suspectView.applyUpdate(update, ticker.millis());
        version = suspectView.version();
        suspectCount = suspectView.size();
        heldCount = suspectView.heldCount();
        long now = ticker.millis();
        holdBack.forgetReleased();
        // a suspect reported by another entry may have been answered here just before
        Set<Fingerprint> tentative = unconfirmed.answeredTentatively(now);
        List<Fingerprint> recent = update.changed().stream()
                .filter(s -> !isHeldPart(s.digest()))
                .map(Suspect::digest)
                .filter(d -> answers.isRecent(d, now) || tentative.contains(d))
                .toList();
        exonerate(recent, new ResponseStart(null, version, now), "answered here just before the report");
        update.changed().stream().filter(s -> !s.proven()).forEach(this::reportIfProven);
    }

    /** Reports that a part suspected by other entries was answered here before, as if this entry had seen one of the crashes. */
    private void reportIfProven(Suspect s) {
        if (answers.isProven(s.digest(), ticker.millis()) && suspectView.isSuspect(s.digest())) {
            List<Fingerprint> part = List.of(s.digest());
            unreportedCrashes.add(new CrashedTarget(s.targets().get(0), part, List.of(), List.of(), part));
            report();
        }
    }

    /**
     * Returns the version of the suspects that has been applied. Thread-safe.
     *
     * @return the version; zero if none has
     */
    public long version() {
        return version;
    }

    /**
     * Returns whether the replicated suspects have been received. An entry that is not ready could send held requests. Thread-safe.
     *
     * @return true if they have
     */
    public boolean isReady() {
        return digester != null;
    }

    /**
     * Returns the digester. Thread-safe.
     *
     * @return the digester, or null while the key is not known
     */
    public RequestDigester digester() {
        return digester;
    }

    /**
     * Returns whether requests have to be digested and checked.
     *
     * @return true if there are suspects or unresolved failures
     */
    public boolean isWatching() {
        return digester != null && !(suspectView.isEmpty() && failures.isEmpty());
    }

    /**
     * Returns whether a request is held back.
     *
     * @param features the request, or null if it was not digested
     * @param brokenOffBy targets that have just closed the connection of this request; they count as crashed without confirmation, to
     *     keep a retry from crashing another one
     * @param brokenOffAtStart those of the targets that had not established the response, which count for the prompt parts as well
     * @return true if it must not be sent
     */
    public boolean isHeld(RequestFeatures features, Set<InstanceId> brokenOffBy, Set<InstanceId> brokenOffAtStart) {
        return holdBack.isHeld(features, brokenOffBy, brokenOffAtStart);
    }

    /**
     * Returns whether a target has ended while it ran a request, or may have.
     *
     * @param features the request, or null if it was not digested
     * @return true if it is a suspect, held back or not, or if a run of it has failed recently at a target whose fate is not known
     */
    public boolean isSuspect(RequestFeatures features) {
        return features != null
                && (suspectView.isSuspect(features.request())
                        || !failures.targetsWithAny(List.of(features.request())).isEmpty());
    }

    /**
     * Checks whether a request may be sent. A held request may be sent if the control plane grants a trial of everything in it that is
     * held.
     *
     * @param features the request, or null if it was not digested
     * @return empty if it may be sent; otherwise the time after which the caller should retry, in milliseconds
     */
    public Mono<Long> holdBackMillis(RequestFeatures features) {
        return holdBack.retryMillis(features);
    }

    /**
     * Describes why a request is held back, for logs and error responses.
     *
     * @param features the request
     * @return the crashed targets and the age of the last update
     */
    public String describeHold(RequestFeatures features) {
        return holdBack.describe(features);
    }

    /**
     * Records that a target has closed the connection of a request, and probes whether the target has crashed.
     *
     * @param target the target's start
     * @param features the request, or null if the key is not known
     * @param progress how much of the response the target had sent
     */
    public void recordDisconnect(InstanceId target, RequestFeatures features, ResponseProgress progress) {
        if (features == null) {
            return;
        }
        long now = ticker.millis();
        failures.add(target, features, progress, now);
        unconfirmed.doubt(target, now);
        if (probing.add(target)) {
            peers.isResponding(target)
                    .subscribe(responding -> io.execute(() -> {
                        probing.remove(target);
                        if (!responding) {
                            confirmCrash(target);
                        }
                    }));
        }
    }

    /**
     * Records that a target has closed a connection just after a response on it, and probes whether it has crashed.
     *
     * @param target the target's start
     */
    public void recordCloseAfterResponse(InstanceId target) {
        long now = ticker.millis();
        if (!unconfirmed.contains(target)) {
            return;
        }
        unconfirmed.doubt(target, now);
        if (now >= nextProbeAt.getOrDefault(target, 0L)) {
            probe(target, now);
        }
    }

    /**
     * Records that this entry has abandoned a request, for example after a timeout, while the target may still run it.
     *
     * @param target the target's start
     * @param features the request, or null if the key is not known
     * @param progress how much of the response the target had sent
     */
    public void recordAbandoned(InstanceId target, RequestFeatures features, ResponseProgress progress) {
        if (features != null) {
            failures.add(target, features, progress, ticker.millis());
        }
    }

    /**
     * Records that a target refuses connections.
     *
     * @param target the target's start
     */
    public void recordRefusal(InstanceId target) {
        confirmCrash(target);
    }

    /**
     * Records a crash if this entry reaches other targets of the same failure domain. Otherwise its links to them may
     * be lost, and the target may be running.
     */
    private void confirmCrash(InstanceId target) {
        boolean suspected = failures.targets().contains(target) || unconfirmed.contains(target);
        if (!suspected || !confirming.add(target)) {
            return;
        }
        peers.reachesNeighbours(target)
                .subscribe(reached -> io.execute(() -> {
                    confirming.remove(target);
                    if (reached) {
                        recordCrash(target);
                    } else {
                        LOG.infof("crashes: target %s is unreachable, and so are its neighbours", target);
                    }
                }));
    }

    /**
     * Records that a target has crashed.
     *
     * @param target the target's start
     */
    public void recordCrash(InstanceId target) {
        long now = ticker.millis();
        acceptConfirmed(now);
        CrashedTarget whole = failures.removeTarget(target, now).withAnswers(unconfirmed.removeTarget(target, now));
        CrashedTarget crash = withoutAnswered(whole, now);
        List<Fingerprint> running = crash.running();
        if (running.size() < whole.running().size()) {
            LOG.infof(
                    "crashes: target %s has ended, not counted against what was answered recently: %s",
                    target,
                    firstOf(whole.running().stream()
                            .filter(f -> !running.contains(f))
                            .toList()));
        }
        if (running.isEmpty()) {
            return;
        }
        LOG.infof(
                "crashes: target %s has ended under %d requests and prompt parts: %s, just begun: %s",
                target, running.size(), firstOf(running), firstOf(crash.begun()));
        suspectView.addCrash(crash, now);
        if (unreportedCrashes.stream().mapToInt(e -> e.running().size()).sum() < SuspectView.MAX_UNLOGGED) {
            unreportedCrashes.add(crash);
        }
        // other targets of the same requests are probed at once, before a retry reaches the next target
        failures.targetsWithAny(Set.copyOf(running)).forEach(t -> probe(t, now));
        report();
    }

    private static List<Fingerprint> firstOf(List<Fingerprint> all) {
        return all.stream().limit(MAX_LOGGED_DIGESTS).toList();
    }

    /** Returns a crash without what other targets have answered recently. */
    private CrashedTarget withoutAnswered(CrashedTarget crash, long now) {
        Set<Fingerprint> answeredElsewhere = unconfirmed.answeredElsewhere(crash.target());
        List<Fingerprint> running = crash.running().stream()
                .filter(f -> !answers.isRecent(f, now) && !answeredElsewhere.contains(f))
                .sorted(Comparator.comparing(f -> !suspectView.isSuspect(f)))
                .limit(MAX_FINGERPRINTS_PER_CRASH)
                .toList();
        Set<Fingerprint> kept = Set.copyOf(running);
        return new CrashedTarget(
                crash.target(),
                running,
                crash.begun().stream().filter(kept::contains).toList(),
                crash.established().stream().filter(kept::contains).toList(),
                running.stream().filter(f -> answers.isProven(f, now)).toList());
    }

    /**
     * Returns the start of a response that a target begins to write now.
     *
     * @param target the target's start
     * @return the start of the response
     */
    public ResponseStart startResponse(InstanceId target) {
        return new ResponseStart(target, version, ticker.millis());
    }

    /**
     * Records that a target has established a response, which shows that it does not crash on the prompt if it goes on running.
     *
     * @param start when the target began to write the response
     * @param features the request, or null if it was not digested
     */
    public void recordEstablished(ResponseStart start, RequestFeatures features) {
        if (features != null) {
            recordAnswered(start, features.promptParts());
        }
    }

    /**
     * Records that a target has answered a request.
     *
     * @param start when the target began to write the response
     * @param features the request, or null if it was not digested
     */
    public void recordAnswer(ResponseStart start, RequestFeatures features) {
        if (features != null) {
            long now = ticker.millis();
            List<Fingerprint> request = List.of(features.request());
            answers.add(features.request(), now);
            failures.removeAnswered(request, start.at());
            exonerate(request, new ResponseStart(start.target(), version, now), "answered by target " + start.target());
        }
    }

    private void recordAnswered(ResponseStart start, List<Fingerprint> answered) {
        long now = ticker.millis();
        unconfirmed.add(new UnconfirmedAnswers.Answer(start, answered, now));
        acceptConfirmed(now);
    }

    private void acceptConfirmed(long now) {
        unconfirmed.removeConfirmed(now).forEach(this::accept);
    }

    /** Accepts an answer that its target has outlived; one to a suspect only if the target still responds. */
    private void accept(UnconfirmedAnswers.Answer a) {
        a.answered().forEach(f -> answers.add(f, a.at()));
        failures.removeAnswered(a.answered(), a.start().at());
        InstanceId target = a.target();
        if (a.answered().stream().noneMatch(suspectView::isSuspect)
                || probing.size() >= MAX_CONCURRENT_PROBES
                || !probing.add(target)) {
            return;
        }
        peers.isResponding(target)
                .subscribe(responding -> io.execute(() -> {
                    probing.remove(target);
                    if (responding && !peers.hasRestarted(target)) {
                        exonerate(a);
                    }
                }));
    }

    private boolean isHeldPart(Fingerprint f) {
        return f.kind() == Fingerprint.Kind.PROMPT_PART && suspectView.isHeldByLog(f);
    }

    /** An answer counts against the crashes before it; unless the prompt part is held, against those just after it as well. */
    private void exonerate(UnconfirmedAnswers.Answer a) {
        long now = ticker.millis();
        ResponseStart covered = new ResponseStart(a.target(), version, now);
        Map<Boolean, List<Fingerprint>> byRecency = a.answered().stream()
                .collect(Collectors.partitioningBy(f -> answers.isRecent(f, now) && !isHeldPart(f)));
        exonerate(byRecency.get(true), covered, "answered recently by target " + a.target());
        List<Fingerprint> earlier = byRecency.get(false).stream()
                .filter(f -> suspectView.isSuspectedBefore(f, a.start().at()))
                .toList();
        exonerate(earlier, a.start(), "answered by target " + a.target());
    }

    /** Reports that suspects have been answered, so that their crashes before the answer no longer count. */
    private void exonerate(List<Fingerprint> answered, ResponseStart start, String reason) {
        List<Fingerprint> exonerated = answered.stream()
                .filter(suspectView::isSuspect)
                .filter(f -> unreportedExonerations.containsKey(f)
                        || unreportedExonerations.size() < MAX_UNREPORTED_EXONERATIONS)
                .toList();
        if (exonerated.isEmpty()) {
            return;
        }
        LOG.infof("crashes: not suspected for the ends before, %s: %s", reason, firstOf(exonerated));
        for (Fingerprint f : exonerated) {
            suspectView.removeAnswered(f, start);
            unreportedExonerations.merge(f, start.version(), Math::max);
        }
        report();
    }

    /** Checks unresolved failures for confirmed crashes and retries reports; called several times a second. */
    public void tick() {
        long now = ticker.millis();
        for (InstanceId target : failures.removeExpired(now)) {
            LOG.infof(
                    "crashes: no end of target %s was confirmed, its failed requests are no longer suspected", target);
        }
        acceptConfirmed(now);
        unconfirmed.targets().stream().filter(peers::hasRestarted).forEach(this::recordCrash);
        Set<InstanceId> unresolved = failures.targets();
        nextProbeAt.entrySet().removeIf(e -> !unresolved.contains(e.getKey()) && now >= e.getValue());
        for (InstanceId target : unresolved) {
            if (peers.hasRestarted(target)) {
                recordCrash(target);
            } else if (now >= nextProbeAt.computeIfAbsent(target, t -> now + PROBE_INTERVAL_MILLIS)) {
                probe(target, now);
            }
        }
        report();
    }

    private void probe(InstanceId target, long now) {
        if (probing.size() >= MAX_CONCURRENT_PROBES || !probing.add(target)) {
            return;
        }
        nextProbeAt.put(target, now + PROBE_INTERVAL_MILLIS);
        peers.refusesConnections(target)
                .subscribe(refused -> io.execute(() -> {
                    probing.remove(target);
                    if (refused) {
                        confirmCrash(target);
                    }
                }));
    }

    private void report() {
        if (reporting || unreportedCrashes.isEmpty() && unreportedExonerations.isEmpty()) {
            return;
        }
        reporting = true;
        List<CrashedTarget> ended = List.copyOf(unreportedCrashes);
        List<Exoneration> exonerations = unreportedExonerations.entrySet().stream()
                .map(e -> new Exoneration(e.getKey(), e.getValue()))
                .toList();
        peers.report(ended, exonerations)
                .defaultIfEmpty(0L)
                .subscribe(at -> io.execute(() -> reportCompleted(ended, exonerations, at)));
    }

    private void reportCompleted(List<CrashedTarget> ended, List<Exoneration> exonerations, long at) {
        reporting = false;
        if (at == 0) {
            return;
        }
        unreportedCrashes.removeAll(ended);
        exonerations.forEach(e -> unreportedExonerations.remove(e.digest(), e.version()));
        ended.forEach(suspectView::markLogged);
        report();
    }

    /**
     * Returns the number of replicated suspects. Thread-safe.
     *
     * @return the number of suspects
     */
    public int suspectCount() {
        return suspectCount;
    }

    /**
     * Returns the number of held requests. Thread-safe.
     *
     * @return the number of held requests
     */
    public long heldCount() {
        return heldCount;
    }
}
