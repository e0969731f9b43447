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
package org.hallwall.serving.crash;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What the log remembers of requests that end targets: who is held back, for how long, and who is not. */
class CrashLedgerTest {

    private static final long MINUTE = 60_000;
    private static final long HOUR = 60 * MINUTE;
    private static final long START = 1_000_000;
    private static final RequestDigest GUILTY = new RequestDigest("guilty");
    private static final RequestDigest THERE = new RequestDigest("there");

    private CrashLedger ledger = new CrashLedger();
    private int targets;

    private void ended(long at, RequestDigest... running) {
        ended("t-" + ++targets, at, running);
    }

    private void ended(String target, long at, RequestDigest... running) {
        EndedTarget e = new EndedTarget(new InstanceId(target), Arrays.asList(running));
        ledger.apply(CrashCommand.seen(at, List.of(e), List.of()));
    }

    private void survived(RequestDigest digest) {
        ledger.apply(CrashCommand.seen(START, List.of(), List.of(digest)));
    }

    private boolean isHeld(RequestDigest digest) {
        return ledger.held().stream().anyMatch(s -> s.digest().equals(digest));
    }

    private void hold() {
        for (int i = 0; i < CrashLedger.ENDED_TO_HOLD; i++) {
            ended(START, GUILTY);
        }
        Assertions.assertTrue(isHeld(GUILTY));
    }

    @Test
    void theThirdEndHoldsBack() {
        ended(START, GUILTY);
        ended(START, GUILTY);
        Assertions.assertFalse(isHeld(GUILTY));
        ended(START, GUILTY);
        Assertions.assertTrue(isHeld(GUILTY));
    }

    /** Several entries had the request on the same target, or one entry says so twice. */
    @Test
    void anEndThatIsReportedAgainCountsOnce() {
        for (int i = 0; i < 10; i++) {
            ended("the-same", START, GUILTY);
        }
        Assertions.assertFalse(isHeld(GUILTY));
    }

    @Test
    void anAnswerInBetweenClears() {
        ended(START, GUILTY);
        ended(START, GUILTY);
        survived(GUILTY);
        ended(START, GUILTY);
        ended(START, GUILTY);
        Assertions.assertFalse(isHeld(GUILTY));
    }

    @Test
    void anAnswerToATrialClears() {
        hold();
        survived(GUILTY);
        Assertions.assertFalse(isHeld(GUILTY));
    }

    /** Ends that a known request explains say nothing of those that ran beside it, whatever the order of their digests. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "z"})
    void whoWasOnlyThereIsLetGo(String name) {
        RequestDigest beside = new RequestDigest(name);
        ended(START, GUILTY);
        ended(START, GUILTY, beside);
        ended(START, GUILTY, beside);
        ended(START, GUILTY, beside);
        Assertions.assertTrue(isHeld(GUILTY));
        Assertions.assertFalse(isHeld(beside));
    }

    /** Two that end targets and always ran together: the second is found all the same. */
    @Test
    void whoWasAlwaysThereIsFoundInTheEnd() {
        for (int i = 0; i < CrashLedger.ENDED_TO_HOLD_ANYHOW; i++) {
            ended(START, GUILTY, THERE);
        }
        Assertions.assertTrue(isHeld(GUILTY));
        Assertions.assertTrue(isHeld(THERE));
    }

    @ParameterizedTest
    @CsvSource({
        // minutes since it is held back, whether a trial is granted
        "0, false",
        "1, true",
        "600, true"
    })
    void theFirstTrialComesAfterAMinute(long minutes, boolean granted) {
        hold();
        Assertions.assertEquals(granted, ledger.apply(CrashCommand.trial(START + minutes * MINUTE, GUILTY)));
    }

    /** For as long as it keeps coming, and also over restarts of the voters. */
    @Test
    void noMoreThanTwoTrialsAreGranted() {
        hold();
        int granted = 0;
        for (long at = START; at < START + 200 * HOUR; at += MINUTE) {
            if (ledger.apply(CrashCommand.trial(at, GUILTY))) {
                granted++;
                ended(at, GUILTY);
            }
            if (at % (10 * MINUTE) == 0) {
                restart();
            }
        }
        Assertions.assertEquals(2, granted);
        Assertions.assertTrue(isHeld(GUILTY));
    }

    @ParameterizedTest
    @CsvSource({"23, true", "25, false"})
    void whatDoesNotComeForADayIsForgotten(long hours, boolean held) {
        hold();
        ended(START + hours * HOUR, THERE);
        Assertions.assertEquals(held, isHeld(GUILTY));
    }

    /** A caller that sends another body each time fills the list; it does not push out what is held back. */
    @Test
    void theListIsBoundedAndHeldOnesStay() {
        hold();
        for (int i = 0; i < CrashLedger.MOST_SUSPECTS + 100; i++) {
            ended(START + i, new RequestDigest("varied-" + i));
        }
        Assertions.assertEquals(
                CrashLedger.MOST_SUSPECTS, ledger.news(0).changed().size());
        Assertions.assertTrue(isHeld(GUILTY));
    }

    /** One was taken for the cause of ends that were another's: when it is answered, the other one is held back. */
    @Test
    void theNextOneIsHeldBackWhenOneWasWronglyHeld() {
        ended(START, THERE, GUILTY);
        ended(START, THERE, GUILTY);
        ended(START, THERE);
        ended(START, GUILTY);
        Assertions.assertTrue(isHeld(THERE));
        Assertions.assertFalse(isHeld(GUILTY));
        survived(THERE);
        Assertions.assertTrue(isHeld(GUILTY));
    }

    @Test
    void theKeyIsSetOnce() {
        byte[] first = new byte[RequestDigester.KEY_BYTES];
        byte[] second = new byte[RequestDigester.KEY_BYTES];
        second[0] = 1;
        ledger.apply(CrashCommand.key(START, first));
        ledger.apply(CrashCommand.key(START, second));
        Assertions.assertArrayEquals(first, ledger.key());
    }

    /** Commands and snapshots are stored, so what is read back decides as what was written. */
    @Test
    void aRestoredLedgerKnowsTheSame() {
        ledger.apply(CrashCommand.key(START, new byte[RequestDigester.KEY_BYTES]));
        hold();
        ended(START, THERE);
        SuspectNews before = ledger.news(0);
        restart();
        SuspectNews after = ledger.news(0);
        Assertions.assertEquals(before.version(), after.version());
        Assertions.assertEquals(
                List.copyOf(before.changed()).size(), after.changed().size());
        Assertions.assertTrue(after.changed().containsAll(before.changed()));
        Assertions.assertArrayEquals(before.key(), after.key());
    }

    private void restart() {
        byte[] bytes = ledger.snapshot();
        ledger = new CrashLedger();
        ledger.restore(bytes);
    }

    @Test
    void commandsAreReadAsTheyWereWritten() {
        CrashCommand c = CrashCommand.seen(
                START, List.of(new EndedTarget(new InstanceId("t/1"), List.of(GUILTY, THERE))), List.of(THERE));
        Assertions.assertEquals(c, CrashCommand.read(c.bytes()));
    }

    /** An entry that follows by changes knows what one knows that asks for everything, however it falls behind. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100, 3_000})
    void changesAddUpToTheWhole(int pollEvery) {
        KnownSuspects entry = new KnownSuspects();
        java.util.Random random = new java.util.Random(pollEvery);
        List<RequestDigest> all = IntStream.range(0, 40)
                .mapToObj(i -> new RequestDigest("d-" + i))
                .toList();
        for (int i = 0; i < 6_000; i++) {
            RequestDigest d = all.get(random.nextInt(all.size()));
            if (random.nextInt(3) == 0) {
                survived(d);
            } else {
                ended(START, d);
            }
            if (i % pollEvery == 0) {
                follow(entry);
            }
        }
        follow(entry);
        for (RequestDigest d : all) {
            Assertions.assertEquals(isHeld(d), entry.isHeld(d, java.util.Set.of()), d.value());
        }
        Assertions.assertEquals(ledger.news(0).changed().size(), entry.size());
    }

    private void follow(KnownSuspects entry) {
        SuspectNews news = ledger.news(entry.version());
        if (news != null) {
            entry.take(news, 0);
        }
    }
}
