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

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.crash.CrashCommand;
import org.hallwall.serving.crash.CrashLedger;
import org.hallwall.serving.crash.CrashedTarget;
import org.hallwall.serving.crash.Fingerprint;
import org.hallwall.serving.target.TargetEnd;
import org.hallwall.serving.target.TargetEnds;
import org.hallwall.serving.target.TargetEnds.RecordedEnd;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that configuration and crash ledger share a log independently, and that logs without a ledger can be read. */
class ControlStateMachineTest {

    private static final byte[] COMPRESSED = "packed".getBytes(StandardCharsets.UTF_8);

    private final AtomicInteger notifications = new AtomicInteger();
    private ConfigurationStateMachine configuration;
    private CrashLedger ledger;
    private EntryCountRecord entryCount;
    private TargetEnds ends;
    private ControlStateMachine machine;

    @BeforeEach
    void createEmpty() {
        configuration = new ConfigurationStateMachine(() -> {});
        ledger = new CrashLedger();
        entryCount = new EntryCountRecord();
        ends = new TargetEnds();
        machine = new ControlStateMachine(configuration, ledger, entryCount, ends, notifications::incrementAndGet);
    }

    private void holdBackRequest() {
        for (int i = 0; i < 3; i++) {
            CrashedTarget e = new CrashedTarget(new InstanceId("t-" + i), List.of(new Fingerprint("d")));
            machine.apply(i + 1, ControlStateMachine.command(CrashCommand.report(1, List.of(e), List.of(), List.of())));
        }
    }

    private void restart() {
        byte[] snapshot = machine.snapshot();
        createEmpty();
        machine.restore(9, snapshot);
    }

    @Test
    void configurationAndLedgerAreRestored() {
        machine.apply(1, ConfigurationStateMachine.command(7, COMPRESSED));
        holdBackRequest();
        restart();
        Assertions.assertEquals(7, configuration.current().version());
        Assertions.assertArrayEquals(COMPRESSED, configuration.current().compressed());
        Assertions.assertEquals(1, ledger.held().size());
    }

    @Test
    void theLedgerIsRestoredWithoutAConfiguration() {
        holdBackRequest();
        restart();
        Assertions.assertEquals(0, configuration.current().version());
        Assertions.assertEquals(1, ledger.held().size());
    }

    /** Guards against a number of entries that is forgotten when control instances restart, while a partition lasts. */
    @Test
    void theNumberOfEntriesIsRestored() {
        machine.apply(1, ConfigurationStateMachine.command(7, COMPRESSED));
        machine.apply(2, ControlStateMachine.entryCountCommand(9));
        restart();
        Assertions.assertEquals(9, entryCount.count());
        Assertions.assertEquals(7, configuration.current().version());
        Assertions.assertEquals(0, ledger.version());
        holdBackRequest();
        restart();
        Assertions.assertEquals(9, entryCount.count());
        Assertions.assertEquals(7, configuration.current().version());
        Assertions.assertEquals(1, ledger.held().size());
    }

    private void recordEnd(String name) {
        RecordedEnd end = new RecordedEnd(TargetEnd.shutdown(name, 5), 1_000);
        machine.apply(3, ControlStateMachine.targetEndCommand(List.of(end)));
    }

    /** Guards against an acknowledged end that is forgotten when all control instances restart. */
    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void endsOfTargetsAreRestored(boolean withLedger, boolean withCount) {
        machine.apply(1, ConfigurationStateMachine.command(7, COMPRESSED));
        if (withLedger) {
            holdBackRequest();
        }
        if (withCount) {
            machine.apply(2, ControlStateMachine.entryCountCommand(9));
        }
        recordEnd("i-1");
        recordEnd("i-2");
        restart();
        Assertions.assertEquals(7, configuration.current().version());
        Assertions.assertEquals(withLedger ? 1 : 0, ledger.held().size());
        Assertions.assertEquals(withCount ? 9 : 0, entryCount.count());
        Assertions.assertTrue(ends.contains(TargetEnd.shutdown("i-1", 5)));
        Assertions.assertTrue(ends.contains(TargetEnd.shutdown("i-2", 5)));
    }

    /** Guards against voters of an earlier version that cannot read a command or a snapshot with the number of entries. */
    @Test
    void earlierVersionsIgnoreTheNumberOfEntries() {
        machine.apply(1, ConfigurationStateMachine.command(7, COMPRESSED));
        holdBackRequest();
        byte[] without = machine.snapshot();
        byte[] command = ControlStateMachine.entryCountCommand(9);
        machine.apply(5, command);
        Assertions.assertEquals(7L, configuration.apply(5, command));
        byte[] snapshot = machine.snapshot();
        Assertions.assertArrayEquals(without, Arrays.copyOf(snapshot, without.length));
        int ledgerStart = Long.BYTES + Integer.BYTES + configuration.snapshot().length;
        CrashLedger earlier = new CrashLedger();
        earlier.restore(Arrays.copyOfRange(snapshot, ledgerStart, snapshot.length));
        Assertions.assertEquals(1, earlier.held().size());
    }

    /** Guards the format of earlier versions, whose snapshots contain the configuration only. */
    @Test
    void aSnapshotOfTheConfigurationAloneIsRead() {
        ConfigurationStateMachine alone = new ConfigurationStateMachine(() -> {});
        alone.apply(1, ConfigurationStateMachine.command(7, COMPRESSED));
        machine.restore(1, alone.snapshot());
        Assertions.assertEquals(7, configuration.current().version());
        Assertions.assertEquals(0, ledger.version());
    }

    @Test
    void anEmptySnapshotRestoresTheInitialState() {
        machine.restore(0, new byte[0]);
        Assertions.assertEquals(0, configuration.current().version());
        Assertions.assertEquals(0, machine.snapshot().length);
    }

    @Test
    void onlyChangesOfTheLedgerAreNotified() {
        holdBackRequest();
        int before = notifications.get();
        machine.apply(4, ConfigurationStateMachine.command(7, COMPRESSED));
        CrashedTarget known = new CrashedTarget(new InstanceId("t-1"), List.of(new Fingerprint("d")));
        machine.apply(5, ControlStateMachine.command(CrashCommand.report(1, List.of(known), List.of(), List.of())));
        Assertions.assertEquals(before, notifications.get());
    }
}
