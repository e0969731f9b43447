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

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;

/** Prints the log lines of several processes that relate to one request. */
final class ExplainCommand {

    private final CliContext context;

    ExplainCommand(CliContext context) {
        this.context = context;
    }

    void run() throws ProgramException {
        String id = context.requireArg(0, "REQUEST-ID");
        context.requireArg(1, "FILE");
        List<LogLine> all = new ArrayList<>();
        for (String file : context.args().subList(1, context.args().size())) {
            readLines(Path.of(file), all);
        }
        List<LogLine> trace = new RequestTrace(id).select(all);
        if (trace.isEmpty()) {
            throw new ProgramException(ExitCode.FAILURE, "no line of these logs names request " + id);
        }
        for (LogLine line : trace) {
            context.out().printf("%s  %s  %s  %s%n", line.timestamp(), line.process(), line.part(), line.message());
        }
    }

    private static void readLines(Path file, List<LogLine> all) throws ProgramException {
        try (Stream<String> lines = Files.lines(file)) {
            String name = String.valueOf(file.getFileName());
            lines.map(text -> LogLine.parse(text, name))
                    .filter(line -> line != null)
                    .forEach(all::add);
        } catch (UncheckedIOException e) {
            throw new ProgramException(ExitCode.FAILURE, file + " is not valid UTF-8 text");
        } catch (IOException e) {
            throw new ProgramException(ExitCode.FAILURE, file + " cannot be read");
        }
    }
}
