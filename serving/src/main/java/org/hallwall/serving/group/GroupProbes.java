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
import org.hallwall.serving.target.TargetDirectory.KnownTarget;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Asks all members of a group whether they answer; questions that come close together share one round of probes.
 *
 * <p>Members that do not answer are held for dead only if somebody in the round answered quickly: a controller that has just
 * started, or is slow or cut off itself, would otherwise hold sound engines for dead. A round that cannot be judged is repeated
 * with witnesses, engines outside the group: all members may be dead.
 */
final class GroupProbes {

    private static final Logger LOG = Logger.getLogger(GroupProbes.class);
    /** How long an engine may take to answer a probe; several times a round trip and the time of its answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    /** An answer within this time shows that this controller is fast enough to judge, in milliseconds. */
    private static final long QUICK_MILLIS = 100;
    /** Questions within this time share a round, in milliseconds; shorter than any silence after which entries ask. */
    private static final long SHARED_MILLIS = 50;
    /** Rounds that run at once; more would only slow the controller down when many heads stand still. */
    private static final int MOST_ROUNDS = 6;
    /** Rounds for one question: a second one if the first could not be judged. */
    private static final int ATTEMPTS = 2;

    /** Engines outside the group that are asked too; one of them may be dead itself, and then nobody could be judged. */
    private static final int WITNESSES = 2;

    private final TargetGateway gateway;
    private final TargetDirectory directory;
    private final Consumer<InstanceId> noAnswer;
    private final Ticker ticker;
    private final Map<String, Round> rounds = new HashMap<>();

    /**
     * Creates the probes; {@link #ask} is called by one thread only.
     *
     * @param gateway speaks to targets
     * @param directory the targets that are known
     * @param noAnswer told which targets are held for dead, on an I/O thread
     * @param ticker the clock
     */
    GroupProbes(TargetGateway gateway, TargetDirectory directory, Consumer<InstanceId> noAnswer, Ticker ticker) {
        this.gateway = gateway;
        this.directory = directory;
        this.noAnswer = noAnswer;
        this.ticker = ticker;
    }

    /**
     * Asks the members of a group.
     *
     * @param group the group's name
     * @param members its members
     * @return what was found; never an error
     */
    Mono<GroupLiveness> ask(String group, List<InstanceId> members) {
        long now = ticker.millis();
        rounds.values().removeIf(r -> r.ended && now - r.begunAt > SHARED_MILLIS);
        Round last = rounds.get(group);
        if (last != null && (!last.ended || now - last.begunAt <= SHARED_MILLIS)) {
            return last.result;
        }
        if (rounds.values().stream().filter(r -> !r.ended).count() >= MOST_ROUNDS) {
            LOG.infof("groups: too many probes run to ask the members of %s", group);
            return Mono.just(GroupLiveness.UNKNOWN);
        }
        Round round = new Round(now);
        rounds.put(group, round);
        round.result = attempt(group, members, ATTEMPTS)
                .doOnNext(found -> end(group, round, found))
                .cache();
        // the round is worth its cost even if the entries that asked do not wait for it
        round.result.subscribe();
        return round.result;
    }

    private void end(String group, Round round, GroupLiveness found) {
        round.ended = true;
        LOG.infof(
                "groups: the members of %s were asked, %s after %d ms", group, found, ticker.millis() - round.begunAt);
    }

    private Mono<GroupLiveness> attempt(String group, List<InstanceId> members, int left) {
        long begunAt = ticker.millis();
        List<InstanceId> asked = new ArrayList<>(members);
        if (left < ATTEMPTS) {
            asked.addAll(witnesses(members));
        }
        return Flux.fromIterable(asked)
                .flatMap(id -> askOne(id, begunAt))
                .collectList()
                .map(answers -> judge(group, members, answers))
                .flatMap(found -> found == GroupLiveness.UNKNOWN && left > 1
                        ? attempt(group, members, left - 1)
                        : Mono.just(found));
    }

    private Mono<Answer> askOne(InstanceId id, long begunAt) {
        TargetRecord record = directory.find(id);
        if (record == null) {
            return Mono.just(new Answer(id, false, 0));
        }
        return gateway.answers(record, TIMEOUT)
                .map(ok -> new Answer(id, ok, ticker.millis() - begunAt))
                // one that backs off has answered lately, and says nothing of how quick this controller is
                .defaultIfEmpty(new Answer(id, true, Long.MAX_VALUE));
    }

    private GroupLiveness judge(String group, List<InstanceId> members, List<Answer> answers) {
        boolean quick = false;
        List<InstanceId> silent = new ArrayList<>();
        for (Answer a : answers) {
            quick |= a.came() && a.afterMillis() <= QUICK_MILLIS;
            if (!a.came() && members.contains(a.from())) {
                silent.add(a.from());
            }
        }
        if (silent.isEmpty()) {
            return GroupLiveness.WORKING;
        }
        if (!quick) {
            LOG.warnf("groups: nobody answered quickly, so %s of %s are not judged", silent, group);
            return GroupLiveness.UNKNOWN;
        }
        for (InstanceId id : silent) {
            LOG.warnf("groups: %s of group %s does not answer, it is held for dead", id, group);
            noAnswer.accept(id);
        }
        return GroupLiveness.LOST;
    }

    /** Draws engines outside the group that take requests. */
    private List<InstanceId> witnesses(List<InstanceId> members) {
        List<InstanceId> others = new ArrayList<>();
        for (KnownTarget t : directory.list()) {
            TargetRecord r = t.record();
            if (r.fabricDomain() != null && r.isServing() && !members.contains(r.instance())) {
                others.add(r.instance());
            }
        }
        Collections.shuffle(others, ThreadLocalRandom.current());
        return others.subList(0, Math.min(WITNESSES, others.size()));
    }

    /** What a probe brought. */
    private record Answer(InstanceId from, boolean came, long afterMillis) {}

    /** The rounds of probes of one group for one question; they end on an I/O thread. */
    private static final class Round {

        private final long begunAt;
        private Mono<GroupLiveness> result;
        private volatile boolean ended;

        Round(long begunAt) {
            this.begunAt = begunAt;
        }
    }
}
