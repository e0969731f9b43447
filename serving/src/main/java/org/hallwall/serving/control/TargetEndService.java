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

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.log.LogVoter;
import org.hallwall.serving.target.FeedMessage.EndReport;
import org.hallwall.serving.target.FeedMessage.EndReportResult;
import org.hallwall.serving.target.TargetEnd;
import org.hallwall.serving.target.TargetEnds;
import org.hallwall.serving.target.TargetEnds.RecordedEnd;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Commits ends of targets to the log before they are acknowledged. Instances that do not lead forward them to the leader.
 */
final class TargetEndService {

    private static final Logger LOG = Logger.getLogger(TargetEndService.class);
    /** The timeout of a commit; targets ask another instance after a second. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(700);

    private final InstanceId self;
    private final LogVoter voter;
    private final TargetEnds ends;
    private final Function<InstanceId, PeerLink> links;
    private final LongSupplier wallClock;

    /**
     * Creates the service.
     *
     * @param self this instance
     * @param voter the voter of this instance
     * @param ends the committed ends
     * @param links the links to the other instances
     * @param wallClock the wall clock in milliseconds since 1970
     */
    TargetEndService(
            InstanceId self,
            LogVoter voter,
            TargetEnds ends,
            Function<InstanceId, PeerLink> links,
            LongSupplier wallClock) {
        this.self = self;
        this.voter = voter;
        this.ends = ends;
        this.links = links;
        this.wallClock = wallClock;
    }

    /**
     * Commits an end.
     *
     * @param end the end
     * @return whether it is committed; never an error
     */
    Mono<Boolean> commit(TargetEnd end) {
        if (ends.contains(end)) {
            return Mono.just(true);
        }
        if (voter.holdsLease()) {
            return propose(end);
        }
        InstanceId leader = voter.state().leader();
        if (leader == null || leader.equals(self)) {
            LOG.infof("targets: the end of %s is not committed, no leader is known", end.name());
            return Mono.just(false);
        }
        return links.apply(leader)
                .call(new EndReport(end), COMMIT_TIMEOUT)
                .cast(EndReportResult.class)
                .map(EndReportResult::committed)
                .defaultIfEmpty(false)
                .onErrorResume(e -> fail(end, e));
    }

    /**
     * Answers another instance that forwards an end.
     *
     * @param end the end
     * @return the result; not committed unless this instance leads
     */
    Mono<EndReportResult> handleReport(TargetEnd end) {
        Mono<Boolean> committed = voter.holdsLease() ? commit(end) : Mono.just(false);
        return committed.map(EndReportResult::new);
    }

    private Mono<Boolean> propose(TargetEnd end) {
        byte[] command = ControlStateMachine.targetEndCommand(List.of(new RecordedEnd(end, wallClock.getAsLong())));
        return Mono.fromFuture(() -> voter.propose(command))
                .timeout(COMMIT_TIMEOUT)
                .map(done -> true)
                .onErrorResume(e -> fail(end, e));
    }

    private static Mono<Boolean> fail(TargetEnd end, Throwable e) {
        LOG.warnf("targets: the end of %s is not committed, %s", end.name(), e.toString());
        return Mono.just(false);
    }
}
