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
package org.hallwall.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.hallwall.control.DeclarationStateMachine;
import org.hallwall.core.id.InstanceId;
import org.hallwall.log.DataFolder;
import org.hallwall.log.LogEntry;
import org.hallwall.log.LogEntryKind;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogVote;
import org.hallwall.log.RecoveredState;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceKind;
import org.hallwall.serving.crash.CrashCommand;
import org.hallwall.serving.crash.CrashLedger;
import org.hallwall.serving.crash.CrashedTarget;
import org.hallwall.serving.crash.Fingerprint;
import org.hallwall.serving.crash.Suspect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks that data stored by an earlier version can be read. */
class StoredDataTest {

    private static final Path STORED = Path.of("src", "test", "resources", "stored");

    @TempDir
    private Path folder;

    @Test
    void log() throws IOException {
        for (String file : new String[] {"folder", "vote", "snapshot", "entries"}) {
            Files.copy(STORED.resolve("log").resolve(file), folder.resolve(file));
        }
        try (LogStore store = LogStore.open(folder)) {
            RecoveredState recovered = store.recoveredState();
            assertEquals(new DataFolder("folder-1", true), recovered.folder());
            assertEquals(new LogVote(7, new InstanceId("voter-b")), recovered.vote());
            assertEquals(3, recovered.snapshot().index());
            assertEquals(2, recovered.snapshot().term());
            assertEquals(Map.of("voter-a", "folder-1"), recovered.snapshot().admitted());
            assertEquals(
                    List.of(new InstanceId("voter-a"), new InstanceId("voter-b")),
                    recovered.snapshot().voters());
            assertArrayEquals(new byte[] {1, 2, 3}, recovered.snapshot().state());
            assertEquals(3, recovered.entries().size());
            assertEntry(
                    4, 2, LogEntryKind.START, new byte[0], recovered.entries().get(0));
            assertEntry(
                    5,
                    7,
                    LogEntryKind.COMMAND,
                    new byte[] {4, 5},
                    recovered.entries().get(1));
            assertEntry(
                    6,
                    7,
                    LogEntryKind.VOTERS,
                    new byte[] {6},
                    recovered.entries().get(2));
        }
    }

    @Test
    void declarations() throws IOException {
        byte[] bytes = Files.readAllBytes(STORED.resolve("declarations"));
        DeclarationStateMachine machine = new DeclarationStateMachine();
        machine.restore(2, bytes);
        Resource workspace = new Resource(ResourceKind.WORKSPACE, "acme", 1, 1, "{\"a\":1}", Map.of());
        assertEquals(2, machine.applied());
        assertEquals(List.of(workspace), machine.list(null));
        assertArrayEquals(bytes, machine.snapshot());
    }

    @Test
    void crashSuspects() throws IOException {
        byte[] bytes = Files.readAllBytes(STORED.resolve("suspects"));
        CrashLedger ledger = new CrashLedger();
        ledger.restore(bytes);
        List<InstanceId> targets = List.of(
                new InstanceId("target-1"),
                new InstanceId("target-2"),
                new InstanceId("target-3"),
                new InstanceId("target-4"));
        assertEquals(List.of(new Suspect(new Fingerprint("digest-1"), targets, true)), List.copyOf(ledger.held()));
        assertArrayEquals(new byte[] {9, 8, 7}, ledger.key());
        assertArrayEquals(bytes, ledger.snapshot());
    }

    @Test
    void crashCommand() throws IOException {
        byte[] bytes = Files.readAllBytes(STORED.resolve("suspects-command"));
        CrashCommand command = CrashCommand.read(bytes);
        CrashedTarget crashed = new CrashedTarget(new InstanceId("target-5"), List.of(new Fingerprint("digest-2")));
        assertEquals(
                CrashCommand.report(2000, List.of(crashed), List.of(new Fingerprint("digest-1")), List.of()), command);
        assertArrayEquals(bytes, command.bytes());
    }

    private static void assertEntry(long index, long term, LogEntryKind kind, byte[] payload, LogEntry entry) {
        assertEquals(index, entry.index());
        assertEquals(term, entry.term());
        assertEquals(kind, entry.kind());
        assertArrayEquals(payload, entry.payload());
    }
}
