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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Asks all members of a group whether they answer; questions that come close together share one round of probes. */
final class GroupProbes {

    private static final Logger LOG = Logger.getLogger(GroupProbes.class);
    /** How long an engine may take to answer a probe; several times a round trip and the time of its answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    /** Questions within this time share a round, in milliseconds; shorter than any silence after which entries ask. */
    private static final long SHARED_MILLIS = 50;

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
     * @param noAnswer told which targets did not answer, on an I/O thread
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
        rounds.values().removeIf(r -> now - r.begunAt() > SHARED_MILLIS);
        Round round = rounds.computeIfAbsent(group, g -> new Round(now, begin(g, members)));
        return round.result();
    }

    private Mono<GroupLiveness> begin(String group, List<InstanceId> members) {
        Mono<GroupLiveness> result = Flux.fromIterable(members)
                .flatMap(id -> askOne(group, id))
                .reduce(true, Boolean::logicalAnd)
                .map(all -> all ? GroupLiveness.WORKING : GroupLiveness.LOST)
                .cache();
        // the round is worth its cost even if the entries that asked do not wait for it
        result.subscribe();
        return result;
    }

    private Mono<Boolean> askOne(String group, InstanceId id) {
        TargetRecord record = directory.find(id);
        if (record == null) {
            return Mono.just(false);
        }
        return gateway.answers(record, TIMEOUT).doOnNext(ok -> {
            if (!ok) {
                LOG.warnf("groups: %s of group %s does not answer, it is held for dead", id, group);
                noAnswer.accept(id);
            }
        });
    }

    /** One round of probes. */
    private record Round(long begunAt, Mono<GroupLiveness> result) {}
}
