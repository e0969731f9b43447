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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Starts voters in heaps of a given size. */
class LogHeapTest {

    /** The heap of a control process. */
    private static final int CONTROL_HEAP_MEGABYTES = 96;
    /** The compressed size of a configuration of some 10,000 routes. */
    private static final int COMMAND_BYTES = 160_000;

    private static final int COMMANDS = 2_000;
    private static final long MAX_ENTRIES_FILE_BYTES = 16_000_000;
    private static final long PATIENCE_SECONDS = 240;

    @TempDir
    private Path temp;

    // guards against a log that grows until no start can load it
    @Test
    void startsAgainAfterManyLargeCommands() throws Exception {
        Path folder = temp.resolve("data");
        String written = run(CONTROL_HEAP_MEGABYTES, "write", folder.toString(), "" + COMMANDS, "" + COMMAND_BYTES);
        assertTrue(Long.parseLong(written) < MAX_ENTRIES_FILE_BYTES, "entries file: " + written + " bytes");
        String read = run(CONTROL_HEAP_MEGABYTES, "read", folder.toString());
        assertEquals("" + COMMANDS, read.split(" ")[0]);
    }

    // guards against a start that needs the file in memory besides its entries
    @Test
    void loadsFileLargerThanHeap() throws Exception {
        Path folder = temp.resolve("data");
        LogStore.form(folder);
        try (LogStore store = LogStore.open(folder)) {
            for (int term = 1; term <= 400; term++) {
                byte[] payload = new byte[COMMAND_BYTES];
                payload[3] = 7;
                store.saveEntries(List.of(new LogEntry(1, term, LogEntryKind.COMMAND, payload)));
            }
            assertTrue(store.entriesBytes() > 60_000_000);
        }
        assertEquals("7", run(32, "read", folder.toString()).split(" ")[0]);
    }

    private String run(int heapMegabytes, String... args) throws Exception {
        Path out = temp.resolve("out.txt");
        Path errors = temp.resolve("errors.txt");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                SingleVoterProgram.class.getName()));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command)
                .redirectOutput(out.toFile())
                .redirectError(errors.toFile())
                .start();
        try {
            assertTrue(process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS), "the voter does not end");
        } finally {
            process.destroyForcibly();
        }
        assertEquals(0, process.exitValue(), Files.readString(errors, StandardCharsets.UTF_8));
        return Files.readString(out, StandardCharsets.UTF_8).strip();
    }
}
