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
package org.hallwall.serving.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.crash.CrashPeers;
import org.hallwall.serving.crash.EndedTarget;
import org.hallwall.serving.crash.RequestDigest;
import org.hallwall.serving.target.FeedMessage.CrashReport;
import org.hallwall.serving.target.FeedMessage.CrashReportTaken;
import org.hallwall.serving.target.FeedMessage.TrialAnswer;
import org.hallwall.serving.target.FeedMessage.TrialQuestion;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import org.hallwall.wire.PeerMessage;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Asks targets and the leader of the log about requests that end targets. */
final class CrashExchange implements CrashPeers {

    private static final Logger LOG = Logger.getLogger(CrashExchange.class);
    /** How long a report may take: a commit with slow disks; the next try is a fraction of a second later. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(900);
    /** How long a caller whose request is held back waits for the word on a trial: a commit, and no more than it would notice. */
    private static final Duration TRIAL_TIMEOUT = Duration.ofMillis(300);

    private final Supplier<Collection<PeerLink>> controllers;
    private final TargetDirectory directory;
    private final Function<InstanceId, Mono<Boolean>> reaches;
    private final BiFunction<InstanceId, NetAddress, Mono<Boolean>> refuses;

    /**
     * Creates the exchange.
     *
     * @param controllers gives the link to the leader, or those to all if it is not known
     * @param directory all targets
     * @param reaches asks whether a target answers; empty for one that is not available and is not asked
     * @param refuses asks whether the address of a target refuses a connection
     */
    CrashExchange(
            Supplier<Collection<PeerLink>> controllers,
            TargetDirectory directory,
            Function<InstanceId, Mono<Boolean>> reaches,
            BiFunction<InstanceId, NetAddress, Mono<Boolean>> refuses) {
        this.controllers = controllers;
        this.directory = directory;
        this.reaches = reaches;
        this.refuses = refuses;
    }

    @Override
    public Mono<Boolean> answers(InstanceId target) {
        // one that backs off has answered lately; that it has ended since is found out by looking again
        return reaches.apply(target).defaultIfEmpty(true);
    }

    @Override
    public Mono<Boolean> refuses(InstanceId target) {
        TargetRecord known = directory.find(target);
        // one that has said that it leaves ends in order: what it was left with is not to blame
        return known == null || !known.isServing() ? Mono.just(false) : refuses.apply(target, known.address());
    }

    @Override
    public boolean hasStartedAgain(InstanceId target) {
        TargetRecord known = directory.find(target);
        return known != null && known.presence() == TargetRecord.Presence.REPLACED;
    }

    @Override
    public Mono<Long> report(List<EndedTarget> ended, List<RequestDigest> survived) {
        return ask(new CrashReport(ended, survived), REPORT_TIMEOUT)
                .ofType(CrashReportTaken.class)
                .filter(CrashReportTaken::taken)
                .next()
                .map(CrashReportTaken::version);
    }

    @Override
    public Mono<Trial> mayTry(RequestDigest digest) {
        return ask(new TrialQuestion(digest), TRIAL_TIMEOUT)
                .ofType(TrialAnswer.class)
                .filter(TrialAnswer::leads)
                .next()
                .map(a -> new Trial(a.granted(), a.againMillis()));
    }

    private Flux<PeerMessage> ask(PeerMessage question, Duration timeout) {
        return Flux.fromIterable(controllers.get())
                .flatMap(l -> l.call(question, timeout).onErrorResume(PeerException.class, e -> {
                    LOG.debugf("crashes: no answer, %s", e.getMessage());
                    return Mono.empty();
                }));
    }
}
