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
package org.hallwall.log;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LogStoreTest {

    @TempDir
    private Path temp;

    private Path folder;

    @BeforeEach
    void form() throws LogStoreException {
        folder = temp.resolve("data");
        LogStore.form(folder);
    }

    @Test
    void restoresVoteAndEntries() throws LogStoreException {
        try (LogStore store = LogStore.open(folder)) {
            store.saveVote(new LogVote(7, new InstanceId("v1")));
            store.saveEntries(List.of(entry(1, 7, "a"), entry(2, 7, "b")));
            store.saveEntries(List.of(entry(2, 8, "c")));
        }
        try (LogStore store = LogStore.open(folder)) {
            assertEquals(
                    new LogVote(7, new InstanceId("v1")), store.recoveredState().vote());
            assertEquals(List.of("1/7/a", "2/8/c"), texts(store));
            assertTrue(store.recoveredState().folder().admitted());
        }
    }

    @Test
    void snapshotReplacesEntries() throws LogStoreException {
        try (LogStore store = LogStore.open(folder)) {
            store.saveEntries(List.of(entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")));
            store.saveSnapshot(
                    new LogSnapshot(2, 1, Map.of("v1", "f"), List.of(), new byte[] {9}), List.of(entry(3, 1, "c")));
            store.saveEntries(List.of(entry(4, 1, "d")));
        }
        try (LogStore store = LogStore.open(folder)) {
            assertEquals(List.of("3/1/c", "4/1/d"), texts(store));
            assertEquals(2, store.recoveredState().snapshot().index());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 12, 20})
    void truncatesIncompleteRecord(int lostBytes) throws Exception {
        try (LogStore store = LogStore.open(folder)) {
            store.saveEntries(List.of(entry(1, 1, "kept")));
            store.saveEntries(List.of(entry(2, 1, "torn")));
        }
        Path entries = folder.resolve("entries");
        byte[] bytes = Files.readAllBytes(entries);
        Files.write(entries, Arrays.copyOf(bytes, bytes.length - lostBytes));
        try (LogStore store = LogStore.open(folder)) {
            assertEquals(List.of("1/1/kept"), texts(store));
            store.saveEntries(List.of(entry(2, 2, "again")));
        }
        try (LogStore store = LogStore.open(folder)) {
            assertEquals(List.of("1/1/kept", "2/2/again"), texts(store));
        }
    }

    @Test
    void rejectsCorruptionBeforeValidRecord() throws Exception {
        try (LogStore store = LogStore.open(folder)) {
            store.saveEntries(List.of(entry(1, 1, "damaged")));
            store.saveEntries(List.of(entry(2, 1, "good")));
        }
        Path entries = folder.resolve("entries");
        byte[] bytes = Files.readAllBytes(entries);
        int inFirst = new String(bytes, StandardCharsets.ISO_8859_1).indexOf("payload");
        bytes[inFirst] ^= 1;
        Files.write(entries, bytes);
        LogStoreException e = assertThrows(LogStoreException.class, () -> LogStore.open(folder));
        assertTrue(e.getMessage().contains("is damaged at byte"), e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"vote", "snapshot", "folder"})
    void rejectsCorruptFile(String file) throws Exception {
        Path path = folder.resolve(file);
        byte[] bytes = Files.readAllBytes(path);
        bytes[bytes.length - 1] ^= 1;
        Files.write(path, bytes);
        assertThrows(LogStoreException.class, () -> LogStore.open(folder));
    }

    @Test
    void emptyFolderIsNotAdmitted() throws LogStoreException {
        try (LogStore store = LogStore.open(temp.resolve("fresh"))) {
            assertFalse(store.recoveredState().folder().admitted());
        }
        assertThrows(LogStoreException.class, () -> LogStore.form(folder), "an initialized folder is rejected");
    }

    private static LogEntry entry(long index, long term, String text) {
        return new LogEntry(index, term, LogEntryKind.COMMAND, text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> texts(LogStore store) {
        return store.recoveredState().entries().stream()
                .map(e -> e.index() + "/" + e.term() + "/" + new String(e.payload(), StandardCharsets.UTF_8))
                .toList();
    }
}
