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
package org.hallwall.serving.control;

import java.security.SecureRandom;
import java.util.function.LongSupplier;

import org.hallwall.log.LogVoter;
import org.hallwall.serving.crash.CrashCommand;
import org.hallwall.serving.crash.CrashLedger;
import org.hallwall.serving.crash.Fingerprint;
import org.hallwall.serving.crash.RequestDigester;
import org.hallwall.serving.target.FeedMessage.CrashReport;
import org.hallwall.serving.target.FeedMessage.CrashReportResult;
import org.hallwall.serving.target.FeedMessage.TrialAnswer;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** Writes reports on requests that crash targets to the log, and grants trials; only the leader serves requests. */
final class CrashService {

    private static final Logger LOG = Logger.getLogger(CrashService.class);

    /**
     * The interval at which a held-back request that is still received is recorded in the log, in milliseconds. It is well below the
     * ledger's retention of a day, and limits the log entries for a request that is sent many times a second.
     */
    private static final long SEEN_INTERVAL_MILLIS = 3_600_000;

    private final LogVoter voter;
    private final CrashLedger ledger;
    private final LongSupplier wallClock;
    private boolean keyProposed;

    /**
     * Creates the service.
     *
     * @param voter the voter of this instance
     * @param ledger the crash ledger
     * @param wallClock the wall clock in milliseconds since 1970
     */
    CrashService(LogVoter voter, CrashLedger ledger, LongSupplier wallClock) {
        this.voter = voter;
        this.ledger = ledger;
        this.wallClock = wallClock;
    }

    /** Proposes a key for digests if the system has none; called with each poll of an entry. */
    synchronized void ensureKey() {
        if (keyProposed || ledger.key() != null || !voter.holdsLease()) {
            return;
        }
        keyProposed = true;
        byte[] key = new byte[RequestDigester.KEY_BYTES];
        new SecureRandom().nextBytes(key);
        propose(CrashCommand.key(wallClock.getAsLong(), key))
                .subscribe(
                        done -> {},
                        e -> LOG.warnf("crashes: no key for digests was committed, %s", e.getMessage()),
                        this::clearKeyProposal);
    }

    private synchronized void clearKeyProposal() {
        keyProposed = false;
    }

    /** Commits a report; the answer says whether it is committed or must be sent to another instance. */
    Mono<CrashReportResult> commitReport(CrashReport report) {
        if (!voter.holdsLease()) {
            return Mono.just(new CrashReportResult(false, 0));
        }
        return propose(CrashCommand.report(
                        wallClock.getAsLong(), report.ended(), report.survived(), report.exonerations()))
                .map(done -> new CrashReportResult(true, ledger.version()))
                .onErrorResume(e -> {
                    LOG.warnf("crashes: a report on crashed targets was not committed, %s", e.getMessage());
                    return Mono.just(new CrashReportResult(false, 0));
                });
    }

    /** Returns whether a trial of a held-back request is granted. */
    Mono<TrialAnswer> requestTrial(Fingerprint digest) {
        if (!voter.holdsLease()) {
            return Mono.just(new TrialAnswer(false, false, 0));
        }
        long now = wallClock.getAsLong();
        long pause = ledger.millisUntilTrial(digest, now);
        if (pause > 0 && ledger.millisSinceSeen(digest, now) < SEEN_INTERVAL_MILLIS) {
            return Mono.just(new TrialAnswer(true, false, pause));
        }
        return propose(CrashCommand.trial(now, digest))
                .map(granted -> new TrialAnswer(
                        true, Boolean.TRUE.equals(granted), ledger.millisUntilTrial(digest, wallClock.getAsLong())))
                .onErrorReturn(new TrialAnswer(false, false, 0));
    }

    private Mono<Object> propose(CrashCommand c) {
        return Mono.fromFuture(() -> voter.propose(ControlStateMachine.command(c)));
    }
}
