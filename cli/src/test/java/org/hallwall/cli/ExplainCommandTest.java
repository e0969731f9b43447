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

/** The story of a request over the logs of many processes, from a kept log of a played day. */
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

    /** A member of the group died; the stream left its head, and the controller found the member 0.2 s later. */
    @Test
    void tellsWhyAStreamMoved() {
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "490946031101780d", LOG));
        Approvals.verify(out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void linesWithoutAProcessAreNamedByTheirFile() throws IOException {
        Path file = folder.resolve("entry-7.log");
        String line =
                "{\"at\":\"2026-01-01T00:00:00Z\",\"level\":\"INFO\",\"part\":\"P\",\"message\":\"request a: refused\"}";
        Files.writeString(file, "not a line of ours\n{\"at\": broken\n" + line + "\n");
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "a", file.toString()));
        Assertions.assertEquals(
                "2026-01-01T00:00:00Z  entry-7.log  P  request a: refused\n",
                out.toString(StandardCharsets.UTF_8).replace("\r\n", "\n"));
    }

    /** Why a request is held back was seen long before it came again, at other processes. */
    @Test
    void tellsWhyARequestIsHeldBack() throws IOException {
        String digest = "a5a06891af0b4b89086baca24b264a2a";
        Path file = folder.resolve("all.log");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        line("00:00:00", "crashes: target i-2/mx has ended under 1 requests: [" + digest + "]"),
                        line(
                                "00:00:01",
                                "crashes: target i-9/mx has ended under 1 requests: [b" + digest.substring(1) + "]"),
                        line("00:00:02", "crashes: request " + digest + " is held back: [i-2/mx] ended under it"),
                        line(
                                "00:30:00",
                                "request x: refused with 503, NOT_RUN: held back as " + digest + ": [i-2/mx]")));
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "x", file.toString()));
        List<String> story = out.toString(StandardCharsets.UTF_8).lines().toList();
        Assertions.assertEquals(3, story.size(), story::toString);
        Assertions.assertTrue(story.get(0).contains("i-2/mx has ended"));
        Assertions.assertTrue(story.get(1).contains("is held back"));
        Assertions.assertTrue(story.get(2).contains("refused with 503"));
    }

    /** What targets had told this entry is shown, also if it was long before; what they told another one is not. */
    @Test
    void tellsWhichTargetsAreNotAvailable() throws IOException {
        Path file = folder.resolve("all.log");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "e-1 " + line("00:00:00", "targets: i-2/mx backs off for 300000 ms"),
                        "e-1 " + line("00:04:00", "targets: i-3/mx is draining, nothing more is sent to it"),
                        "e-1 " + line("00:04:00", "targets: i-5/mx names a rate limit of 2.000 requests/s"),
                        "e-2 " + line("00:04:01", "targets: i-4/mx backs off for 300000 ms"),
                        "e-1 "
                                + line(
                                        "00:04:30",
                                        "request x: refused with 503, NOT_RUN: no target is left, 0 of 3 are available, 1 are "
                                                + "rate-limited, the others back off or drain (configuration 7)")));
        Assertions.assertEquals(ExitCode.SUCCESS, run("explain", "x", file.toString()));
        List<String> story = out.toString(StandardCharsets.UTF_8).lines().toList();
        Assertions.assertEquals(4, story.size(), story::toString);
        Assertions.assertTrue(story.get(0).contains("i-2/mx backs off for"));
        Assertions.assertTrue(story.get(1).contains("i-3/mx is draining"));
        Assertions.assertTrue(story.get(2).contains("i-5/mx names a rate limit"));
    }

    private static String line(String time, String message) {
        return "{\"at\":\"2026-01-01T" + time + "Z\",\"level\":\"INFO\",\"part\":\"P\",\"message\":\"" + message
                + "\"}";
    }

    @ParameterizedTest
    @CsvSource({
        "explain, WRONG_USE, REQUEST-ID is missing",
        "explain x, WRONG_USE, FILE is missing",
        "explain x nowhere.log, FAILURE, nowhere.log cannot be read",
        "explain 49094603 " + LOG + ", FAILURE, no line of these logs names request 49094603"
    })
    void faultsAreToldPlainly(String command, ExitCode code, String fault) {
        Assertions.assertEquals(code, run(command.split(" ")));
        Assertions.assertEquals(
                "hallwall: " + fault, err.toString(StandardCharsets.UTF_8).strip());
    }
}
