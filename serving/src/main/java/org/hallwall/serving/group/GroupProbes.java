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
package org.hallwall.serving.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetDirectory.AnnouncedTarget;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Probes all members of a group; requests within a short interval share one round of probes.
 *
 * <p>Members that do not answer are considered dead only if another engine in the round answered quickly. Otherwise a controller
 * that has just started, is slow or is partitioned itself would declare healthy engines dead. An inconclusive round is repeated
 * with witnesses, engines outside the group, since all members may be dead.
 */
final class GroupProbes {

    private static final Logger LOG = Logger.getLogger(GroupProbes.class);
    /** The timeout of a probe: several round trips and response times. */
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    /** An answer within this time shows that this controller is neither slow nor partitioned, in milliseconds. */
    private static final long FAST_ANSWER_MILLIS = 100;
    /** Requests within this time share a round, in milliseconds; shorter than any stall after which entries send a request. */
    private static final long SHARED_ROUND_MILLIS = 50;
    /** The maximum number of concurrent rounds, which limits the controller's load when many heads stall. */
    private static final int MAX_CONCURRENT_ROUNDS = 6;
    /** The maximum number of rounds for one request: a second one if the first is inconclusive. */
    private static final int MAX_ATTEMPTS = 2;

    /** The number of engines outside the group that are probed too; more than one, since a witness may be dead itself. */
    private static final int WITNESS_COUNT = 2;

    private final TargetGateway gateway;
    private final TargetDirectory directory;
    private final Consumer<InstanceId> unresponsiveListener;
    private final Ticker ticker;
    private final Map<String, Round> rounds = new HashMap<>();

    /**
     * Creates the probes; {@link #probe} is called by one thread only.
     *
     * @param gateway sends the probes
     * @param directory the directory of targets
     * @param unresponsiveListener receives the targets that are considered dead, on an I/O thread
     * @param ticker the clock
     */
    GroupProbes(
            TargetGateway gateway,
            TargetDirectory directory,
            Consumer<InstanceId> unresponsiveListener,
            Ticker ticker) {
        this.gateway = gateway;
        this.directory = directory;
        this.unresponsiveListener = unresponsiveListener;
        this.ticker = ticker;
    }

    /**
     * Probes the members of a group.
     *
     * @param group the group's name
     * @param members its members
     * @return the liveness of the group; never an error
     */
    Mono<GroupLiveness> probe(String group, List<InstanceId> members) {
        long now = ticker.millis();
        rounds.values().removeIf(r -> r.completed && now - r.startedAt > SHARED_ROUND_MILLIS);
        Round last = rounds.get(group);
        if (last != null && (!last.completed || now - last.startedAt <= SHARED_ROUND_MILLIS)) {
            return last.result;
        }
        if (rounds.values().stream().filter(r -> !r.completed).count() >= MAX_CONCURRENT_ROUNDS) {
            LOG.infof("groups: too many concurrent probes to probe the members of %s", group);
            return Mono.just(GroupLiveness.UNKNOWN);
        }
        Round round = new Round(now);
        rounds.put(group, round);
        round.result = attempt(group, members, MAX_ATTEMPTS)
                .doOnNext(found -> completeRound(group, round, found))
                .cache();
        // subscribed here so that the round completes even if the requesting entries cancel
        round.result.subscribe();
        return round.result;
    }

    private void completeRound(String group, Round round, GroupLiveness found) {
        round.completed = true;
        LOG.infof("groups: probed the members of %s, %s after %d ms", group, found, ticker.millis() - round.startedAt);
    }

    private Mono<GroupLiveness> attempt(String group, List<InstanceId> members, int remainingAttempts) {
        long startedAt = ticker.millis();
        List<InstanceId> probed = new ArrayList<>(members);
        if (remainingAttempts < MAX_ATTEMPTS) {
            probed.addAll(witnesses(members));
        }
        return Flux.fromIterable(probed)
                .flatMap(id -> probeOne(id, startedAt))
                .collectList()
                .map(results -> evaluate(group, members, results))
                .flatMap(found -> found == GroupLiveness.UNKNOWN && remainingAttempts > 1
                        ? attempt(group, members, remainingAttempts - 1)
                        : Mono.just(found));
    }

    private Mono<ProbeResult> probeOne(InstanceId id, long startedAt) {
        TargetRecord record = directory.find(id);
        if (record == null) {
            return Mono.just(new ProbeResult(id, false, 0));
        }
        return gateway.probe(record, TIMEOUT)
                .map(ok -> new ProbeResult(id, ok, ticker.millis() - startedAt))
                // a target in backoff has answered recently, but does not show how fast this controller is
                .defaultIfEmpty(new ProbeResult(id, true, Long.MAX_VALUE));
    }

    private GroupLiveness evaluate(String group, List<InstanceId> members, List<ProbeResult> results) {
        boolean anyFast = false;
        List<InstanceId> unresponsive = new ArrayList<>();
        for (ProbeResult r : results) {
            anyFast |= r.answered() && r.elapsedMillis() <= FAST_ANSWER_MILLIS;
            if (!r.answered() && members.contains(r.target())) {
                unresponsive.add(r.target());
            }
        }
        if (unresponsive.isEmpty()) {
            return GroupLiveness.WORKING;
        }
        if (!anyFast) {
            LOG.warnf("groups: no fast answer, the state of %s of group %s is unknown", unresponsive, group);
            return GroupLiveness.UNKNOWN;
        }
        for (InstanceId id : unresponsive) {
            LOG.warnf("groups: %s of group %s does not answer, considering it dead", id, group);
            unresponsiveListener.accept(id);
        }
        return GroupLiveness.LOST;
    }

    /** Selects random serving engines outside the group. */
    private List<InstanceId> witnesses(List<InstanceId> members) {
        List<InstanceId> others = new ArrayList<>();
        for (AnnouncedTarget t : directory.list()) {
            TargetRecord r = t.record();
            if (r.fabricDomain() != null && r.isServing() && !members.contains(r.instance())) {
                others.add(r.instance());
            }
        }
        Collections.shuffle(others, ThreadLocalRandom.current());
        return others.subList(0, Math.min(WITNESS_COUNT, others.size()));
    }

    /** The result of a probe. */
    private record ProbeResult(InstanceId target, boolean answered, long elapsedMillis) {}

    /** The probes of one group for one request; they complete on an I/O thread. */
    private static final class Round {

        private final long startedAt;
        private Mono<GroupLiveness> result;
        private volatile boolean completed;

        Round(long startedAt) {
            this.startedAt = startedAt;
        }
    }
}
