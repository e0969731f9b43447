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
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

/** Tests which members are probed and when they are considered dead. */
class GroupProbesTest {

    private static final List<InstanceId> MEMBERS =
            List.of(new InstanceId("i-1"), new InstanceId("i-2"), new InstanceId("i-3"));

    private static final InstanceId WITNESS = new InstanceId("i-9");

    private final List<InstanceId> probed = new ArrayList<>();
    private final List<InstanceId> dead = new ArrayList<>();
    private final List<InstanceId> inBackoff = new ArrayList<>();
    private final List<InstanceId> reported = new ArrayList<>();
    private final TargetDirectory directory = new TargetDirectory(() -> now());
    private long now = 1_000;
    private long responseMillis;
    private boolean neverAnswers;

    private final TargetGateway gateway = new TargetGateway() {
        @Override
        public Mono<OrderOutcome> sendOrder(TargetRecord target, TargetOrder order, long token, Duration timeout) {
            return Mono.just(OrderOutcome.UNKNOWN);
        }

        @Override
        public Mono<Boolean> probe(TargetRecord target, Duration timeout) {
            if (inBackoff.contains(target.instance())) {
                return Mono.empty();
            }
            probed.add(target.instance());
            return neverAnswers
                    ? Mono.never()
                    : Mono.fromSupplier(() -> {
                        now += responseMillis;
                        return !dead.contains(target.instance());
                    });
        }

        @Override
        public Mono<EngineReport> readReport(TargetRecord target, Duration timeout) {
            return Mono.empty();
        }
    };
    private final GroupProbes probes = new GroupProbes(gateway, directory, reported::add, () -> now());

    private long now() {
        return now;
    }

    @BeforeEach
    void announce() {
        List<InstanceId> all = new ArrayList<>(MEMBERS);
        all.add(WITNESS);
        for (InstanceId id : all) {
            directory.applyRecord(record(id));
        }
    }

    private static TargetRecord record(InstanceId id) {
        return new TargetRecord(
                id,
                1,
                "llm",
                new NetAddress("127.0.0.1", 1),
                "a",
                4,
                TargetRecord.Presence.SERVING,
                "d",
                "m",
                List.of("m"),
                null);
    }

    @ParameterizedTest
    @CsvSource({"0, WORKING", "1, LOST", "3, LOST"})
    void allDeadMembersAreFound(int count, GroupLiveness found) {
        dead.addAll(MEMBERS.subList(0, count));
        Assertions.assertEquals(found, probes.probe("g", MEMBERS).block());
        Assertions.assertEquals(dead, reported);
        List<InstanceId> expected = new ArrayList<>(MEMBERS);
        if (count == MEMBERS.size()) {
            // an inconclusive round is repeated with a witness
            expected.addAll(MEMBERS);
            expected.add(WITNESS);
        }
        Assertions.assertEquals(expected, probed);
    }

    /** A member in backoff is not probed and not considered dead; the other members are evaluated as usual. */
    @ParameterizedTest
    @CsvSource({"1, 0, WORKING", "1, 1, LOST", "3, 0, WORKING"})
    void membersInBackoffAreNotConsideredDead(int backoffCount, int deadCount, GroupLiveness found) {
        inBackoff.addAll(MEMBERS.subList(0, backoffCount));
        dead.addAll(MEMBERS.subList(backoffCount, backoffCount + deadCount));
        Assertions.assertEquals(found, probes.probe("g", MEMBERS).block());
        Assertions.assertEquals(dead, reported);
    }

    /** A round with a single witness is inconclusive if the witness is dead too. */
    @RepeatedTest(20)
    void aDeadWitnessDoesNotMakeTheRoundInconclusive() {
        InstanceId second = new InstanceId("i-8");
        directory.applyRecord(record(second));
        dead.addAll(MEMBERS);
        dead.add(WITNESS);
        Assertions.assertEquals(GroupLiveness.LOST, probes.probe("g", MEMBERS).block());
        Assertions.assertEquals(MEMBERS, reported);
    }

    /** Guards against a slow or partitioned controller that declares healthy engines dead. */
    @ParameterizedTest
    @CsvSource({
        // response time, dead members, whether the witness is dead, expected liveness
        "0, 3, true, UNKNOWN",
        "0, 3, false, LOST",
        "0, 1, true, LOST",
        "150, 1, false, UNKNOWN",
        "150, 0, false, WORKING"
    })
    void membersAreConsideredDeadOnlyIfAnotherEngineAnswersQuickly(
            long answerMillis, int deadMembers, boolean deadWitness, GroupLiveness found) {
        responseMillis = answerMillis;
        dead.addAll(MEMBERS.subList(0, deadMembers));
        if (deadWitness) {
            dead.add(WITNESS);
        }
        Assertions.assertEquals(found, probes.probe("g", MEMBERS).block());
        Assertions.assertEquals(found == GroupLiveness.LOST ? deadMembers : 0, reported.size());
    }

    /** Guards against an overload of the controller when many heads stall at once. */
    @Test
    void theNumberOfConcurrentRoundsIsLimited() {
        neverAnswers = true;
        for (int i = 0; i < 20; i++) {
            probes.probe("g" + i, MEMBERS);
        }
        Assertions.assertEquals(6 * 3, probed.size());
        Assertions.assertEquals(
                GroupLiveness.UNKNOWN, probes.probe("g20", MEMBERS).block());
    }

    @ParameterizedTest
    @CsvSource({"10, 3", "200, 6"})
    void concurrentRequestsShareARound(long after, int expected) {
        probes.probe("g", MEMBERS).block();
        now += after;
        probes.probe("g", MEMBERS).block();
        Assertions.assertEquals(expected, probed.size());
    }

    @Test
    void aMemberThatIsNoLongerKnownIsLost() {
        List<InstanceId> members = List.of(MEMBERS.get(0), new InstanceId("i-gone"));
        Assertions.assertEquals(GroupLiveness.LOST, probes.probe("g", members).block());
    }
}
