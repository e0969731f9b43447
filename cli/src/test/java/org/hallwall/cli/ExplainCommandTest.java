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
package org.hallwall.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.approvaltests.Approvals;
import org.hallwall.program.ExitCode;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which log lines {@code hallwall explain} prints for a request. */
class ExplainCommandTest {

    private static final String LOG = "src/test/resources/played-day.log";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    private ExitCode run(String... args) {
        return CliMain.run(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                args);
    }

    /** The stream resumes on another group after its head is lost, before the controller detects the loss. */
    @Test
    void explainsResumedStream() {
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "490946031101780d", LOG));
        Approvals.verify(out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void processDefaultsToFileName() throws IOException {
        Path file = folder.resolve("entry-7.log");
        String line =
                "{\"at\":\"2026-01-01T00:00:00Z\",\"level\":\"INFO\",\"part\":\"P\",\"message\":\"request a: refused\"}";
        Files.writeString(file, "not a line of ours\n{\"at\": broken\n" + line + "\n");
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "a", file.toString()));
        Assertions.assertEquals(
                "2026-01-01T00:00:00Z  entry-7.log  P  request a: refused\n",
                out.toString(StandardCharsets.UTF_8).replace("\r\n", "\n"));
    }

    /** Crash lines that led to the hold are included although they are older than the request and name only its digest. */
    @Test
    void explainsHeldRequest() throws IOException {
        String digest = "a5a06891af0b4b89086baca24b264a2a";
        Path file = folder.resolve("all.log");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        jsonLine("00:00:00", "crashes: target i-2/mx has ended under 1 requests: [" + digest + "]"),
                        jsonLine(
                                "00:00:01",
                                "crashes: target i-9/mx has ended under 1 requests: [b" + digest.substring(1) + "]"),
                        jsonLine("00:00:02", "crashes: request " + digest + " is held back: [i-2/mx] ended under it"),
                        jsonLine(
                                "00:30:00",
                                "request x: refused with 503, NOT_RUN: held back as " + digest + ": [i-2/mx]")));
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "x", file.toString()));
        List<String> trace = out.toString(StandardCharsets.UTF_8).lines().toList();
        Assertions.assertEquals(3, trace.size(), trace::toString);
        Assertions.assertTrue(trace.get(0).contains("i-2/mx has ended"));
        Assertions.assertTrue(trace.get(1).contains("is held back"));
        Assertions.assertTrue(trace.get(2).contains("refused with 503"));
    }

    /** A request is held because of a prompt part that crashed targets in other requests. */
    @Test
    void explainsHeldPromptPart() throws IOException {
        Path file = folder.resolve("all.log");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        jsonLine("00:00:00", "crashes: target i-2/mx has ended under 1 requests: [part-5c1e]"),
                        jsonLine("00:00:01", "crashes: target i-9/mx has ended under 1 requests: [part-91bd]"),
                        jsonLine("00:00:02", "crashes: prompt part part-5c1e is held back: [i-2/mx] ended under it"),
                        jsonLine(
                                "00:30:00", "request x: refused with 503, NOT_RUN: held back as part-5c1e: [i-2/mx]")));
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "x", file.toString()));
        List<String> trace = out.toString(StandardCharsets.UTF_8).lines().toList();
        Assertions.assertEquals(3, trace.size(), trace::toString);
        Assertions.assertTrue(trace.get(0).contains("i-2/mx has ended"));
        Assertions.assertTrue(trace.get(1).contains("is held back"));
    }

    /** Earlier target notices to the rejecting entry are included; notices to another entry are not. */
    @Test
    void explainsUnavailableTargets() throws IOException {
        Path file = folder.resolve("all.log");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "e-1 " + jsonLine("00:00:00", "targets: i-2/mx backs off for 300000 ms"),
                        "e-1 " + jsonLine("00:04:00", "targets: i-3/mx is draining, nothing more is sent to it"),
                        "e-1 " + jsonLine("00:04:00", "targets: i-5/mx names a rate limit of 2.000 requests/s"),
                        "e-2 " + jsonLine("00:04:01", "targets: i-4/mx backs off for 300000 ms"),
                        "e-1 "
                                + jsonLine(
                                        "00:04:30",
                                        "request x: refused with 503, NOT_RUN: no target is left, 0 of 3 are available, 1 are "
                                                + "rate-limited, the others back off or drain (configuration 7)")));
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "x", file.toString()));
        List<String> trace = out.toString(StandardCharsets.UTF_8).lines().toList();
        Assertions.assertEquals(4, trace.size(), trace::toString);
        Assertions.assertTrue(trace.get(0).contains("i-2/mx backs off for"));
        Assertions.assertTrue(trace.get(1).contains("i-3/mx is draining"));
        Assertions.assertTrue(trace.get(2).contains("i-5/mx names a rate limit"));
    }

    /** The target of a whole response is found, so that its own lines around that time are included. */
    @Test
    void explainsWholeResponse() throws IOException {
        Path file = folder.resolve("all.log");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        jsonLine("00:00:00", "targets: i-2/mx is draining, nothing more is sent to it"),
                        jsonLine("00:00:00", "targets: i-3/mx is draining, nothing more is sent to it"),
                        jsonLine(
                                "00:00:01",
                                "request x on r-1: status 500 with 7 bytes in 31 ms from i-2 on connection 9828ca7b, 1 rejected")));
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "x", file.toString()));
        List<String> trace = out.toString(StandardCharsets.UTF_8).lines().toList();
        Assertions.assertEquals(2, trace.size(), trace::toString);
        Assertions.assertTrue(trace.get(0).contains("i-2/mx is draining"));
        Assertions.assertTrue(trace.get(1).contains("status 500 with 7 bytes"));
    }

    private static String jsonLine(String time, String message) {
        return "{\"at\":\"2026-01-01T" + time + "Z\",\"level\":\"INFO\",\"part\":\"P\",\"message\":\"" + message
                + "\"}";
    }

    @ParameterizedTest
    @CsvSource({
        "explain, USAGE_ERROR, REQUEST-ID is missing",
        "explain x, USAGE_ERROR, FILE is missing",
        "explain x nowhere.log, FAILURE, nowhere.log cannot be read",
        "explain 49094603 " + LOG + ", FAILURE, no line of these logs names request 49094603"
    })
    void reportsErrors(String command, ExitCode code, String error) {
        Assertions.assertEquals(code, run(command.split(" ")));
        Assertions.assertEquals(
                "hallwall: " + error, err.toString(StandardCharsets.UTF_8).strip());
    }
}
