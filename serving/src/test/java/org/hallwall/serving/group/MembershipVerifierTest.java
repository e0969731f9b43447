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
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

/** Guards against a late announcement that is applied as the current group membership of an engine. */
class MembershipVerifierTest {

    private static final InstanceId ENGINE = new InstanceId("i-1");
    private static final GroupMembership OPEN = new GroupMembership("g", 5, 0, GroupState.OPEN);
    private static final TargetOrder.Join JOIN = new TargetOrder.Join("h", 9, "m", List.of(ENGINE));

    private final List<InstanceId> unanswered = new ArrayList<>();
    private Mono<EngineReport> answer = Mono.empty();
    private int queries;
    private long now = 10_000;
    private final MembershipVerifier verifier =
            new MembershipVerifier(new ReportGateway(), Runnable::run, r -> unanswered.add(r.instance()), () -> now);

    private static TargetRecord announced(long sequence, GroupMembership membership) {
        TargetRecord r =
                EngineFixture.engine("i-1", "d0", null, "m", membership).record();
        return r.with(sequence, TargetRecord.Presence.SERVING);
    }

    /** Queries the engine, whose last announcement has number 2 and names no group. */
    private void query(EngineReport report) {
        answer = report == null ? Mono.empty() : Mono.just(report);
        query();
    }

    private void query() {
        TargetRecord r = verifier.merge(announced(2, null));
        verifier.query(List.of(new Engine(r, null, false, false, verifier.state(ENGINE))), Integer.MAX_VALUE);
    }

    private static GroupMembership membership(long epoch, GroupState state) {
        return epoch == 0 ? null : new GroupMembership("g", epoch, 0, state);
    }

    @Test
    void theReportedGroupAppliesUntilALaterAnnouncementIsKnown() {
        query(new EngineReport(OPEN, "m", 3));
        Assertions.assertEquals(VerificationState.VERIFIED, verifier.state(ENGINE));
        TargetRecord merged = verifier.merge(announced(2, null));
        Assertions.assertEquals(OPEN, merged.group());
        Assertions.assertEquals("m", merged.model());
    }

    /** An epoch of zero stands for an announcement without a group. */
    @ParameterizedTest
    @CsvSource({
        "0, OPEN, false",
        "4, OPEN, false",
        "4, BROKEN, false",
        "5, JOINING, false",
        "5, READY, false",
        "5, OPEN, true",
        "5, CLOSING, true",
        "5, BROKEN, true",
        "6, JOINING, true"
    })
    void anAnnouncementWithAnEarlierEpochOrStateIsLate(long epoch, GroupState state, boolean later) {
        query(new EngineReport(OPEN, "m", 3));
        GroupMembership received = membership(epoch, state);
        Assertions.assertEquals(
                later ? received : OPEN, verifier.merge(announced(3, received)).group());
    }

    @Test
    void anEngineWhoseAnnouncementsContradictItsReportIsQueriedAgain() {
        query(new EngineReport(OPEN, "m", 3));
        verifier.merge(announced(3, null));
        now += 1_000;
        query(new EngineReport(null, null, 4));
        Assertions.assertEquals(2, queries);
        Assertions.assertNull(verifier.merge(announced(3, null)).group());
    }

    @Test
    void anEngineWithoutAnAnswerIsNotVerifiedAndQueriedAgainAfterAWhile() {
        query(null);
        Assertions.assertEquals(VerificationState.UNANSWERED, verifier.state(ENGINE));
        Assertions.assertEquals(List.of(ENGINE), unanswered);
        query(new EngineReport(null, null, 0));
        now += 1_000;
        query();
        Assertions.assertEquals(1, queries);
        now += 1_000;
        query();
        Assertions.assertEquals(VerificationState.VERIFIED, verifier.state(ENGINE));
    }

    /** The announcement of an order's effect may arrive before the answer to the order. */
    @Test
    void aJoinIsConditionalUntilAnOrderIsSent() {
        query(new EngineReport(null, null, 3));
        Assertions.assertEquals(3L, verifier.revision(ENGINE));
        verifier.recordSent(ENGINE);
        Assertions.assertNull(verifier.revision(ENGINE));
        Assertions.assertEquals(VerificationState.VERIFIED, verifier.state(ENGINE));
    }

    @ParameterizedTest
    @CsvSource({"TAKEN, VERIFIED", "REFUSED, VERIFIED", "UNKNOWN, PENDING", "CONFLICT, PENDING"})
    void aConditionalJoinWithoutAClearOutcomeDiscardsTheReport(OrderOutcome outcome, VerificationState after) {
        query(new EngineReport(null, null, 3));
        verifier.recordSent(ENGINE);
        boolean current = verifier.recordOutcome(ENGINE, JOIN.ifRevision(3L), outcome);
        Assertions.assertEquals(outcome != OrderOutcome.CONFLICT, current);
        Assertions.assertEquals(after, verifier.state(ENGINE));
    }

    @ParameterizedTest
    @CsvSource({"g, 5, true", "g, 4, false", "f, 5, false"})
    void anEngineThatAcceptsToLeaveItsGroupHasNone(String group, long epoch, boolean left) {
        query(new EngineReport(OPEN, "m", 3));
        verifier.recordOutcome(ENGINE, new TargetOrder.Leave(group, epoch), OrderOutcome.TAKEN);
        Assertions.assertEquals(
                left ? null : OPEN, verifier.merge(announced(2, null)).group());
        Assertions.assertEquals(VerificationState.VERIFIED, verifier.state(ENGINE));
    }

    @Test
    void aNewTermDiscardsAllReports() {
        query(new EngineReport(null, null, 3));
        verifier.clear();
        Assertions.assertEquals(VerificationState.PENDING, verifier.state(ENGINE));
        query();
        Assertions.assertEquals(2, queries);
    }

    /** Answers reports only. */
    private final class ReportGateway implements TargetGateway {

        @Override
        public Mono<OrderOutcome> sendOrder(TargetRecord target, TargetOrder order, long token, Duration timeout) {
            return Mono.just(OrderOutcome.UNKNOWN);
        }

        @Override
        public Mono<Boolean> probe(TargetRecord target, Duration timeout) {
            return Mono.just(false);
        }

        @Override
        public Mono<EngineReport> readReport(TargetRecord target, Duration timeout) {
            queries++;
            return answer;
        }
    }
}
