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
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.reachability.PartitionDetector;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.FeedMessage.HeadCheckResult;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Queries the group controller for the liveness of group heads, and gives it a second opinion on suspected members. */
final class HeadLivenessQuery {

    private static final Logger LOG = Logger.getLogger(HeadLivenessQuery.class);
    /** Timeout of a query about a group head; covers the probes of the group controller and the round trip. */
    private static final Duration HEAD_QUERY_TIMEOUT = Duration.ofMillis(400);

    private final Supplier<Collection<PeerLink>> controllers;
    private final TargetAvailability availability;
    private final PartitionDetector detector;
    private final Function<InstanceId, Mono<Boolean>> probe;

    /**
     * Creates the query.
     *
     * @param controllers supplies the link to the group controller, or all links if it is unknown
     * @param availability the availability of targets
     * @param detector detects partitions
     * @param probe probes a target; empty if the target is unavailable and was not probed
     */
    HeadLivenessQuery(
            Supplier<Collection<PeerLink>> controllers,
            TargetAvailability availability,
            PartitionDetector detector,
            Function<InstanceId, Mono<Boolean>> probe) {
        this.controllers = controllers;
        this.availability = availability;
        this.detector = detector;
        this.probe = probe;
    }

    /** Queries the group controller for the liveness of a head. */
    Mono<GroupLiveness> query(StalledHead head) {
        return Flux.fromIterable(controllers.get())
                .flatMap(l -> callController(l, head)
                        .flatMap(f -> f.liveness() == GroupLiveness.SUSPECTED ? probeSuspects(l, f) : Mono.just(f)))
                .map(HeadCheckResult::liveness)
                .filter(found -> found != GroupLiveness.UNKNOWN)
                .next()
                .defaultIfEmpty(GroupLiveness.UNKNOWN);
    }

    private static Mono<HeadCheckResult> callController(PeerLink link, FeedMessage message) {
        return link.call(message, HEAD_QUERY_TIMEOUT)
                .ofType(HeadCheckResult.class)
                .onErrorResume(PeerException.class, e -> {
                    LOG.debugf("entry: no response to %s, %s", message, e.getMessage());
                    return Mono.empty();
                });
    }

    /**
     * Probes the suspected members that may be probed and reports the result to the controller. Falls back to its own
     * result if the controller does not respond. A partitioned entry cannot tell dead members from live ones.
     */
    private Mono<HeadCheckResult> probeSuspects(PeerLink link, HeadCheckResult suspected) {
        List<InstanceId> probed = detector.isPartitioned()
                ? List.of()
                : suspected.suspects().stream().filter(availability::canProbe).toList();
        if (probed.isEmpty()) {
            return Mono.just(new HeadCheckResult(suspected.group(), GroupLiveness.UNKNOWN, List.of()));
        }
        return Flux.fromIterable(probed)
                .filterWhen(id -> probe.apply(id).defaultIfEmpty(true))
                .collectList()
                .flatMap(reached -> {
                    List<InstanceId> silent = new ArrayList<>(probed);
                    silent.removeAll(reached);
                    GroupLiveness liveness = silent.isEmpty() ? GroupLiveness.WORKING : GroupLiveness.LOST;
                    return callController(link, new FeedMessage.SuspectCheckResult(suspected.group(), reached, silent))
                            .defaultIfEmpty(new HeadCheckResult(suspected.group(), liveness, List.of()));
                });
    }
}
