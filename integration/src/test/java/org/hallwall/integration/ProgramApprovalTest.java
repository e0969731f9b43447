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

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.Stream;

import org.approvaltests.Approvals;
import org.approvaltests.namer.NamedEnvironment;
import org.approvaltests.namer.NamerFactory;
import org.hallwall.cli.CliMain;
import org.hallwall.control.ControlMain;
import org.hallwall.entry.EntryMain;
import org.hallwall.fakes.FakeEngineMain;
import org.hallwall.load.LoadMain;
import org.hallwall.program.ExitCode;
import org.hallwall.simulation.ExperimentMain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the help texts, exit codes and settings errors of the programs, and that all sample settings are valid. */
class ProgramApprovalTest {

    private static final Path SAMPLES = Path.of("..", "dist", "src", "main", "samples");

    @ParameterizedTest
    @ValueSource(
            strings = {
                "hallwall-entry",
                "hallwall-control",
                "hallwall-fake-engine",
                "hallwall-load",
                "hallwall-experiment",
                "hallwall"
            })
    void help(String program) {
        ProgramOutput output = run(program, "--help");
        assertEquals(ExitCode.SUCCESS, output.code);
        verifyNamed(program, output.out);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "hallwall-entry",
                "hallwall-control",
                "hallwall-fake-engine",
                "hallwall-load",
                "hallwall-experiment",
                "hallwall"
            })
    void invalidUsage(String program) {
        assertEquals(ExitCode.USAGE_ERROR, run(program, "--no-such-option").code);
        assertEquals(ExitCode.USAGE_ERROR, run(program).code);
        assertEquals(ExitCode.SUCCESS, run(program, "--version").code);
    }

    @Test
    void invalidSettings(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("entry.json");
        Files.writeString(file, """
                {
                  // Comments are allowed.
                  "fleet": "", "instance": "has space", "failureDomain": "d", "callers": "not-an-address",
                  "targets": "127.0.0.1:1", "peer": "127.0.0.1:2", "admin": "127.0.0.1:3",
                  "domainEntries": [], "voters": [{"instance": "v"}], "maxQueued": 0, "unknown": true,
                }
                """);
        ProgramOutput output = run("hallwall-entry", "--settings", file.toString());
        assertEquals(ExitCode.FAILURE, output.code);
        Approvals.verify(output.err);
    }

    @ParameterizedTest
    @MethodSource("samples")
    void samplesAreValid(String program, Path sample) {
        ProgramOutput output = run(program, "--settings", sample.toString(), "--check");
        assertEquals(ExitCode.SUCCESS, output.code, output.err);
    }

    static Stream<Arguments> samples() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(SAMPLES)) {
            files = all.filter(f -> f.toString().endsWith(".json"))
                    .filter(f -> !f.endsWith("declarations.json"))
                    .sorted()
                    .toList();
        }
        assertEquals(26, files.size());
        return files.stream().map(f -> Arguments.of(programOf(f), f));
    }

    private static String programOf(Path sample) {
        String name = sample.getFileName().toString();
        if (name.startsWith("control")) {
            return "hallwall-control";
        }
        if (name.startsWith("entry")) {
            return "hallwall-entry";
        }
        return name.startsWith("fake") ? "hallwall-fake-engine" : "hallwall-load";
    }

    private static void verifyNamed(String name, String text) {
        try (NamedEnvironment named = NamerFactory.withParameters(name)) {
            assertTrue(named != null);
            Approvals.verify(text);
        }
    }

    private static ProgramOutput run(String program, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code = program(program)
                .apply(new PrintStream[] {new PrintStream(out, true), new PrintStream(err, true)}, args);
        return new ProgramOutput(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static BiFunction<PrintStream[], String[], ExitCode> program(String name) {
        return switch (name) {
            case "hallwall-entry" -> (s, a) -> new EntryMain().run(s[0], s[1], a);
            case "hallwall-control" -> (s, a) -> new ControlMain().run(s[0], s[1], a);
            case "hallwall-fake-engine" -> (s, a) -> new FakeEngineMain().run(s[0], s[1], a);
            case "hallwall-load" -> (s, a) -> LoadMain.run(s[0], s[1], a);
            case "hallwall-experiment" -> (s, a) -> ExperimentMain.run(s[0], s[1], a);
            default -> (s, a) -> CliMain.run(s[0], s[1], a);
        };
    }

    private record ProgramOutput(ExitCode code, String out, String err) {}
}
