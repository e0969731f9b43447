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
import org.hallwall.serving.crash.CrashedTarget;
import org.hallwall.serving.crash.Exoneration;
import org.hallwall.serving.crash.Fingerprint;
import org.hallwall.serving.target.FeedMessage.CrashReport;
import org.hallwall.serving.target.FeedMessage.CrashReportResult;
import org.hallwall.serving.target.FeedMessage.TrialAnswer;
import org.hallwall.serving.target.FeedMessage.TrialRequest;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import org.hallwall.wire.PeerMessage;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Communicates with targets and the leader of the log about requests that crash targets. */
final class CrashExchange implements CrashPeers {

    private static final Logger LOG = Logger.getLogger(CrashExchange.class);
    /**
     * Timeout of a crash report; covers a commit on slow disks. The next attempt follows within a fraction of a
     * second.
     */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(900);
    /** Timeout of a trial request, for which the client waits; covers a commit. */
    private static final Duration TRIAL_TIMEOUT = Duration.ofMillis(300);

    private final Supplier<Collection<PeerLink>> controllers;
    private final TargetDirectory directory;
    private final Function<InstanceId, Mono<Boolean>> probe;
    private final BiFunction<InstanceId, NetAddress, Mono<Boolean>> refusesConnections;
    private final Function<InstanceId, Mono<Boolean>> reachesNeighbours;

    /**
     * Creates the exchange.
     *
     * @param controllers supplies the link to the leader, or all links if the leader is unknown
     * @param directory the announced targets
     * @param probe  probes a target; empty if the target is unavailable and was not probed
     * @param refusesConnections  checks whether the address of a target refuses connections
     * @param reachesNeighbours checks whether other targets of the failure domain accept connections
     */
    CrashExchange(
            Supplier<Collection<PeerLink>> controllers,
            TargetDirectory directory,
            Function<InstanceId, Mono<Boolean>> probe,
            BiFunction<InstanceId, NetAddress, Mono<Boolean>> refusesConnections,
            Function<InstanceId, Mono<Boolean>> reachesNeighbours) {
        this.controllers = controllers;
        this.directory = directory;
        this.probe = probe;
        this.refusesConnections = refusesConnections;
        this.reachesNeighbours = reachesNeighbours;
    }

    @Override
    public Mono<Boolean> isResponding(InstanceId target) {
        // a target that is backing off has responded recently; a later check detects a crash
        return probe.apply(target).defaultIfEmpty(true);
    }

    @Override
    public Mono<Boolean> refusesConnections(InstanceId target) {
        TargetRecord record = directory.find(target);
        // a target that has announced its shutdown does not count as crashed
        return record == null || !record.isServing()
                ? Mono.just(false)
                : refusesConnections.apply(target, record.address());
    }

    @Override
    public Mono<Boolean> reachesNeighbours(InstanceId target) {
        return reachesNeighbours.apply(target);
    }

    @Override
    public boolean hasRestarted(InstanceId target) {
        TargetRecord record = directory.find(target);
        return record != null && record.presence() == TargetRecord.Presence.REPLACED;
    }

    @Override
    public Mono<Long> report(List<CrashedTarget> ended, List<Exoneration> exonerations) {
        return callControllers(new CrashReport(ended, List.of(), exonerations), REPORT_TIMEOUT)
                .ofType(CrashReportResult.class)
                .filter(CrashReportResult::taken)
                .next()
                .map(CrashReportResult::version);
    }

    @Override
    public Mono<TrialDecision> requestTrial(Fingerprint digest) {
        return callControllers(new TrialRequest(digest), TRIAL_TIMEOUT)
                .ofType(TrialAnswer.class)
                .filter(TrialAnswer::leads)
                .next()
                .map(a -> new TrialDecision(a.granted(), a.againMillis()));
    }

    private Flux<PeerMessage> callControllers(PeerMessage message, Duration timeout) {
        return Flux.fromIterable(controllers.get())
                .flatMap(l -> l.call(message, timeout).onErrorResume(PeerException.class, e -> {
                    LOG.debugf("crashes: no response, %s", e.getMessage());
                    return Mono.empty();
                }));
    }
}
