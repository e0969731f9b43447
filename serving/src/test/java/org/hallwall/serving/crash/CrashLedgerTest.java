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

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which requests are held back after crashes, and when they are released or tried again. */
class CrashLedgerTest {

    private static final long MINUTE = 60_000;
    private static final long HOUR = 60 * MINUTE;
    private static final long START = 1_000_000;
    private static final Fingerprint CRASHING = new Fingerprint("crashing");
    private static final Fingerprint OTHER = new Fingerprint("other");
    private static final Fingerprint PART = Fingerprint.ofPromptPart("5c1e");
    private static final Fingerprint OTHER_PART = Fingerprint.ofPromptPart("91bd");

    private CrashLedger ledger = new CrashLedger();
    private int targets;

    private void crash(long at, Fingerprint... running) {
        crash("t-" + ++targets, at, running);
    }

    private void crash(String target, long at, Fingerprint... running) {
        CrashedTarget e = new CrashedTarget(new InstanceId(target), Arrays.asList(running));
        ledger.apply(CrashCommand.report(at, List.of(e), List.of(), List.of()));
    }

    /** Crashes a target that had just begun to write a response. */
    private void crashAtStart(Fingerprint... begun) {
        crashAtStart("t-" + ++targets, List.of(begun), List.of());
    }

    private void crashAtStart(String target, List<Fingerprint> begun, List<Fingerprint> established) {
        List<Fingerprint> running = new ArrayList<>(begun);
        running.addAll(established);
        CrashedTarget e = new CrashedTarget(new InstanceId(target), running, begun, established, List.of());
        ledger.apply(CrashCommand.report(START, List.of(e), List.of(), List.of()));
    }

    /** Crashes a target that had just begun to write a response on prompt parts, of which one was answered earlier. */
    private void crashWithProven(Fingerprint proven, Fingerprint... others) {
        List<Fingerprint> running = new ArrayList<>(List.of(others));
        running.add(proven);
        CrashedTarget e =
                new CrashedTarget(new InstanceId("t-" + ++targets), running, running, List.of(), List.of(proven));
        ledger.apply(CrashCommand.report(START, List.of(e), List.of(), List.of()));
    }

    private Fingerprint request(int n) {
        return new Fingerprint("request-" + n);
    }

    private void survived(Fingerprint digest) {
        ledger.apply(
                CrashCommand.report(START, List.of(), List.of(), List.of(new Exoneration(digest, ledger.version()))));
    }

    private boolean isHeld(Fingerprint digest) {
        return ledger.held().stream().anyMatch(s -> s.digest().equals(digest));
    }

    private void holdCrashing() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crash(START, CRASHING);
        }
        Assertions.assertTrue(isHeld(CRASHING));
    }

    @Test
    void thirdCrashHoldsRequest() {
        crash(START, CRASHING);
        crash(START, CRASHING);
        Assertions.assertFalse(isHeld(CRASHING));
        crash(START, CRASHING);
        Assertions.assertTrue(isHeld(CRASHING));
    }

    /** Several entries may report the same crash, and one entry may report it repeatedly. */
    @Test
    void repeatedReportsCountOnce() {
        for (int i = 0; i < 10; i++) {
            crash("the-same", START, CRASHING);
        }
        Assertions.assertFalse(isHeld(CRASHING));
    }

    @Test
    void answerBetweenCrashesClearsSuspect() {
        crash(START, CRASHING);
        crash(START, CRASHING);
        survived(CRASHING);
        crash(START, CRASHING);
        crash(START, CRASHING);
        Assertions.assertFalse(isHeld(CRASHING));
    }

    @Test
    void answerToTrialReleasesRequest() {
        holdCrashing();
        survived(CRASHING);
        Assertions.assertFalse(isHeld(CRASHING));
    }

    /** Crashes attributed to a held request do not hold concurrent requests, whatever the order of digests. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "z"})
    void concurrentRequestIsNotHeld(String name) {
        Fingerprint concurrent = new Fingerprint(name);
        crash(START, CRASHING);
        crash(START, CRASHING, concurrent);
        crash(START, CRASHING, concurrent);
        crash(START, CRASHING, concurrent);
        Assertions.assertTrue(isHeld(CRASHING));
        Assertions.assertFalse(isHeld(concurrent));
    }

    /** Two crashing requests that always run together are both held. */
    @Test
    void requestsThatAlwaysRunTogetherAreHeld() {
        for (int i = 0; i < CrashLedger.UNCONDITIONAL_HOLD_THRESHOLD; i++) {
            crash(START, CRASHING, OTHER);
        }
        Assertions.assertTrue(isHeld(CRASHING));
        Assertions.assertTrue(isHeld(OTHER));
    }

    /** Different requests that share a part: the part is held, and none of the requests. */
    @Test
    void partOfDifferentRequestsIsHeld() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashAtStart(request(i), PART);
        }
        Assertions.assertTrue(isHeld(PART));
        Assertions.assertEquals(1, ledger.held().size());
    }

    /** With the same evidence, the request is held rather than the part that other requests may share. */
    @Test
    void repeatedRequestIsHeldRatherThanItsPart() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashAtStart(CRASHING, PART);
        }
        Assertions.assertTrue(isHeld(CRASHING));
        Assertions.assertFalse(isHeld(PART));
    }

    /** A part that accounts for the crashes of a held request and for another one is held at once. */
    @Test
    void partThatAccountsForMoreThanAHeldRequestIsHeld() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashAtStart(CRASHING, PART);
        }
        crashAtStart(OTHER, PART);
        Assertions.assertTrue(isHeld(PART));
    }

    /** Crashes of a held part are attributed to it, however many there are, also for parts that always ran beside it. */
    @Test
    void partBesideAHeldPartIsNotHeld() {
        for (int i = 0; i < 20; i++) {
            String target = "t-" + i;
            crashAtStart(target, List.of(request(i), PART), List.of());
            crash(target, START, OTHER_PART);
        }
        Assertions.assertTrue(isHeld(PART));
        Assertions.assertFalse(isHeld(OTHER_PART));
    }

    /** While requests with different crashing parts are unknown, a part that only waited beside them is not held. */
    @Test
    void partThatWaitedBesideBegunResponsesIsNotHeld() {
        for (int i = 0; i < 6; i++) {
            String target = "t-" + i;
            crashAtStart(target, List.of(request(i), Fingerprint.ofPromptPart("a" + i % 3)), List.of());
            crash(target, START, OTHER_PART);
        }
        Assertions.assertFalse(isHeld(OTHER_PART));
    }

    /** A request that had received a part of each response was not the one that the targets had just begun. */
    @Test
    void establishedRequestIsNotHeldBesideBegunOnes() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashAtStart("t-" + i, List.of(request(i)), List.of(OTHER));
        }
        Assertions.assertFalse(isHeld(OTHER));
    }

    /** Targets need not send a head before they crash. */
    @Test
    void partIsHeldIfNoResponseHasBegun() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crash(START, request(i), PART);
        }
        Assertions.assertTrue(isHeld(PART));
    }

    /** Two parts that never occur apart cannot be told apart: holding one holds all requests with either. */
    @Test
    void oneOfTwoInseparablePartsIsHeld() {
        for (int i = 0; i < 10; i++) {
            crashAtStart(request(i), PART, OTHER_PART);
        }
        Assertions.assertTrue(isHeld(PART) ^ isHeld(OTHER_PART));
    }

    /** If the wrong one of two parts is held, the next crash without it shows the other. */
    @Test
    void partIsHeldAfterACrashWithoutAWronglyHeldOne() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashAtStart(request(i), PART, OTHER_PART);
        }
        Fingerprint unheld = isHeld(PART) ? OTHER_PART : PART;
        crashAtStart(request(9), unheld);
        Assertions.assertTrue(isHeld(unheld));
    }

    /** Crashing parts share a part that was answered earlier, and which is in more crashes than each of them. */
    @Test
    void provenPartBesideCrashingPartsIsNotHeld() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashWithProven(OTHER_PART, PART, request(i));
            crashWithProven(OTHER_PART, Fingerprint.ofPromptPart("b0"), request(100 + i));
        }
        Assertions.assertTrue(isHeld(PART));
        Assertions.assertTrue(isHeld(Fingerprint.ofPromptPart("b0")));
        Assertions.assertFalse(isHeld(OTHER_PART));
    }

    /** An entry reports an earlier answer after another entry has reported a later one. */
    @Test
    void reportOfAnEarlierAnswerDoesNotRenewAClearedSuspect() {
        crashAtStart(request(1), PART);
        survived(PART);
        CrashedTarget late =
                new CrashedTarget(new InstanceId("t-1"), List.of(PART), List.of(), List.of(), List.of(PART));
        ledger.apply(CrashCommand.report(START, List.of(late), List.of(), List.of()));
        Assertions.assertTrue(ledger.changesSince(0).changed().stream()
                .noneMatch(s -> s.digest().equals(PART)));
    }

    /** A part may begin to crash targets although they answered it before. */
    @Test
    void provenPartIsHeldIfNoOtherPartAccountsForTheCrashes() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashWithProven(PART, request(i));
        }
        Assertions.assertTrue(isHeld(PART));
    }

    /** Parts that occur in one request each cannot account for the crashes of all. */
    @Test
    void provenPartIsHeldAfterManyCrashesBesideDifferentParts() {
        for (int i = 0; i < CrashAttribution.MAX_SHARING_PARTS + CrashLedger.HOLD_THRESHOLD; i++) {
            Assertions.assertFalse(isHeld(PART));
            crashWithProven(PART, Fingerprint.ofPromptPart("b" + i));
        }
        Assertions.assertTrue(isHeld(PART));
    }

    @Test
    void twoCrashingPartsAreBothHeld() {
        for (int i = 0; i < CrashLedger.HOLD_THRESHOLD; i++) {
            crashAtStart(request(i), PART);
            crashAtStart(request(100 + i), OTHER_PART);
        }
        Assertions.assertTrue(isHeld(PART));
        Assertions.assertTrue(isHeld(OTHER_PART));
    }

    @ParameterizedTest
    @CsvSource({
        // minutes since the request is held, whether a trial is granted
        "0, false",
        "1, true",
        "600, true"
    })
    void firstTrialIsGrantedAfterAMinute(long minutes, boolean granted) {
        holdCrashing();
        Assertions.assertEquals(granted, ledger.apply(CrashCommand.trial(START + minutes * MINUTE, CRASHING)));
    }

    /** The limit holds for as long as callers retry, and across restarts of the voters. */
    @Test
    void atMostTwoTrialsAreGranted() {
        holdCrashing();
        int granted = 0;
        for (long at = START; at < START + 200 * HOUR; at += MINUTE) {
            if (ledger.apply(CrashCommand.trial(at, CRASHING))) {
                granted++;
                crash(at, CRASHING);
            }
            if (at % (10 * MINUTE) == 0) {
                restart();
            }
        }
        Assertions.assertEquals(2, granted);
        Assertions.assertTrue(isHeld(CRASHING));
    }

    @ParameterizedTest
    @CsvSource({"23, true", "25, false"})
    void unseenSuspectExpiresAfterADay(long hours, boolean held) {
        holdCrashing();
        crash(START + hours * HOUR, OTHER);
        Assertions.assertEquals(held, isHeld(CRASHING));
    }

    /** A caller that varies its requests must not evict held ones. */
    @Test
    void suspectsAreBoundedAndHeldOnesKept() {
        holdCrashing();
        for (int i = 0; i < CrashLedger.MAX_SUSPECTS + 100; i++) {
            crash(START + i, new Fingerprint("varied-" + i));
        }
        Assertions.assertEquals(
                CrashLedger.MAX_SUSPECTS, ledger.changesSince(0).changed().size());
        Assertions.assertTrue(isHeld(CRASHING));
    }

    /** When a wrongly held request is answered, its crashes count against the concurrent requests again. */
    @Test
    void releaseOfAWronglyHeldRequestHoldsTheNext() {
        crash(START, OTHER, CRASHING);
        crash(START, OTHER, CRASHING);
        crash(START, OTHER);
        crash(START, CRASHING);
        Assertions.assertTrue(isHeld(OTHER));
        Assertions.assertFalse(isHeld(CRASHING));
        survived(OTHER);
        Assertions.assertTrue(isHeld(CRASHING));
    }

    @Test
    void keyIsSetOnce() {
        byte[] first = new byte[RequestDigester.KEY_BYTES];
        byte[] second = new byte[RequestDigester.KEY_BYTES];
        second[0] = 1;
        ledger.apply(CrashCommand.key(START, first));
        ledger.apply(CrashCommand.key(START, second));
        Assertions.assertArrayEquals(first, ledger.key());
    }

    /** A snapshot restores the same state. */
    @Test
    void restoredLedgerHasTheSameState() {
        ledger.apply(CrashCommand.key(START, new byte[RequestDigester.KEY_BYTES]));
        holdCrashing();
        crash(START, OTHER);
        SuspectUpdate before = ledger.changesSince(0);
        restart();
        SuspectUpdate after = ledger.changesSince(0);
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
    void commandsAreDecodedAsEncoded() {
        CrashCommand c = CrashCommand.report(
                START,
                List.of(new CrashedTarget(new InstanceId("t/1"), List.of(CRASHING, OTHER))),
                List.of(OTHER),
                List.of(new Exoneration(OTHER, 7)));
        Assertions.assertEquals(c, CrashCommand.read(c.bytes()));
    }

    /** Incremental updates lead to the same state as a full one, however far an entry falls behind. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100, 3_000})
    void incrementalUpdatesMatchTheFullState(int pollEvery) {
        SuspectView entry = new SuspectView();
        java.util.Random random = new java.util.Random(pollEvery);
        List<Fingerprint> all =
                IntStream.range(0, 40).mapToObj(i -> new Fingerprint("d-" + i)).toList();
        for (int i = 0; i < 6_000; i++) {
            Fingerprint d = all.get(random.nextInt(all.size()));
            if (random.nextInt(3) == 0) {
                survived(d);
            } else {
                crash(START, d);
            }
            if (i % pollEvery == 0) {
                poll(entry);
            }
        }
        poll(entry);
        for (Fingerprint d : all) {
            Assertions.assertEquals(isHeld(d), entry.isHeld(d, java.util.Set.of()), d.value());
        }
        Assertions.assertEquals(ledger.changesSince(0).changed().size(), entry.size());
    }

    private void poll(SuspectView entry) {
        SuspectUpdate update = ledger.changesSince(entry.version());
        if (update != null) {
            entry.applyUpdate(update, 0);
        }
    }
}
