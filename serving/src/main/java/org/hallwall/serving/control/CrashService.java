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
import org.hallwall.serving.crash.RequestDigest;
import org.hallwall.serving.crash.RequestDigester;
import org.hallwall.serving.target.FeedMessage.CrashReport;
import org.hallwall.serving.target.FeedMessage.CrashReportTaken;
import org.hallwall.serving.target.FeedMessage.TrialAnswer;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** Takes what entries have seen of requests that end targets into the log, and grants trials; only the leader does. */
final class CrashService {

    private static final Logger LOG = Logger.getLogger(CrashService.class);

    /**
     * How long the log may not have heard of a request that still comes, in milliseconds: well within the day after which it is forgotten,
     * and few entries of the log for one that comes many times a second.
     */
    private static final long SEEN_MILLIS = 3_600_000;

    private final LogVoter voter;
    private final CrashLedger ledger;
    private final LongSupplier timeOfDay;
    private boolean keyProposed;

    /**
     * Creates the service.
     *
     * @param voter this voter
     * @param ledger the replicated state
     * @param timeOfDay the time of day in milliseconds since 1970
     */
    CrashService(LogVoter voter, CrashLedger ledger, LongSupplier timeOfDay) {
        this.voter = voter;
        this.ledger = ledger;
        this.timeOfDay = timeOfDay;
    }

    /** Sees to it that the system has a key for digests; called often. */
    synchronized void ensureKey() {
        if (keyProposed || ledger.key() != null || !voter.holdsLease()) {
            return;
        }
        keyProposed = true;
        byte[] key = new byte[RequestDigester.KEY_BYTES];
        new SecureRandom().nextBytes(key);
        propose(CrashCommand.key(timeOfDay.getAsLong(), key))
                .subscribe(
                        done -> {},
                        e -> LOG.warnf("crashes: no key for digests yet, %s", e.getMessage()),
                        this::mayProposeKey);
    }

    private synchronized void mayProposeKey() {
        keyProposed = false;
    }

    /** Takes a report; the answer says that it lasts, or that another instance has to be asked. */
    Mono<CrashReportTaken> take(CrashReport report) {
        if (!voter.holdsLease()) {
            return Mono.just(new CrashReportTaken(false, 0));
        }
        return propose(CrashCommand.seen(timeOfDay.getAsLong(), report.ended(), report.survived()))
                .map(done -> new CrashReportTaken(true, ledger.version()))
                .onErrorResume(e -> {
                    LOG.warnf("crashes: a report on ended targets was not taken, %s", e.getMessage());
                    return Mono.just(new CrashReportTaken(false, 0));
                });
    }

    /** Answers whether a request that is held back may be tried now. */
    Mono<TrialAnswer> trial(RequestDigest digest) {
        if (!voter.holdsLease()) {
            return Mono.just(new TrialAnswer(false, false, 0));
        }
        long now = timeOfDay.getAsLong();
        long pause = ledger.trialInMillis(digest, now);
        if (pause > 0 && ledger.unseenMillis(digest, now) < SEEN_MILLIS) {
            return Mono.just(new TrialAnswer(true, false, pause));
        }
        return propose(CrashCommand.trial(now, digest))
                .map(granted -> new TrialAnswer(
                        true, Boolean.TRUE.equals(granted), ledger.trialInMillis(digest, timeOfDay.getAsLong())))
                .onErrorReturn(new TrialAnswer(false, false, 0));
    }

    private Mono<Object> propose(CrashCommand c) {
        return Mono.fromFuture(() -> voter.propose(ControlMachine.command(c)));
    }
}
