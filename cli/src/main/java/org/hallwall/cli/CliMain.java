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
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.program.ExitCode;
import org.hallwall.program.LogFormat;
import org.hallwall.program.LogOutput;
import org.hallwall.program.LoggingSetup;
import org.hallwall.program.ProgramException;
import org.hallwall.program.ProgramVersion;

/** Entry point of the operator client {@code hallwall}. */
public final class CliMain {

    private static final String SERVERS = "servers";
    private static final String KEY_FILE = "key-file";

    private CliMain() {}

    /**
     * Runs the client and exits with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        LoggingSetup.configure(LogFormat.TEXT, "WARN", LogOutput.STANDARD_ERROR);
        System.exit(run(System.out, System.err, args).code());
    }

    /**
     * Runs the client with the given output streams.
     *
     * @param out the standard output
     * @param err the standard error
     * @param args the command line
     * @return the exit code
     */
    public static ExitCode run(PrintStream out, PrintStream err, String... args) {
        try {
            return dispatch(out, err, new DefaultParser().parse(options(), args, true));
        } catch (ParseException e) {
            err.println("hallwall: " + e.getMessage() + " (see --help)");
            return ExitCode.USAGE_ERROR;
        } catch (ProgramException e) {
            err.println("hallwall: " + e.getMessage());
            return e.exitCode();
        }
    }

    private static ExitCode dispatch(PrintStream out, PrintStream err, CommandLine line) throws ProgramException {
        List<String> arguments = line.getArgList();
        if (line.hasOption("help")) {
            printHelp(out);
            return ExitCode.SUCCESS;
        }
        if (line.hasOption("version")) {
            out.println("hallwall " + ProgramVersion.version());
            return ExitCode.SUCCESS;
        }
        CliCommand command = arguments.isEmpty() ? null : CliCommand.byName(arguments.get(0));
        if (command == null) {
            err.println("hallwall: a command is missing or unknown (see --help)");
            return ExitCode.USAGE_ERROR;
        }
        ApiClient api = new ApiClient(servers(line), key(line));
        command.run(new CliContext(arguments.subList(1, arguments.size()), api, out));
        return ExitCode.SUCCESS;
    }

    private static List<NetAddress> servers(CommandLine line) throws ProgramException {
        String text = line.getOptionValue(SERVERS, System.getenv("HALLWALL_SERVERS"));
        List<NetAddress> out = new ArrayList<>();
        if (text != null && !text.isBlank()) {
            for (String part : text.split(",")) {
                out.add(ReadCommands.parseAddress(part.strip()));
            }
        }
        return out;
    }

    private static String key(CommandLine line) throws ProgramException {
        if (!line.hasOption(KEY_FILE)) {
            return null;
        }
        try {
            return Files.readString(Path.of(line.getOptionValue(KEY_FILE))).strip();
        } catch (IOException e) {
            throw new ProgramException(ExitCode.FAILURE, "the key file cannot be read");
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(Option.builder().longOpt(SERVERS).hasArg().get());
        options.addOption(Option.builder().longOpt(KEY_FILE).hasArg().get());
        options.addOption(Option.builder("h").longOpt("help").get());
        options.addOption(Option.builder().longOpt("version").get());
        return options;
    }

    private static void printHelp(PrintStream out) {
        out.println("usage: hallwall [--servers HOST:PORT,...] [--key-file FILE] COMMAND");
        out.println();
        for (CliCommand command : CliCommand.values()) {
            out.printf("  %-28s %s%n", command.usage(), command.description());
        }
        out.println();
        out.println("  --servers HOST:PORT,...      the resource API of the voters; else HALLWALL_SERVERS");
        out.println("  --key-file FILE              the file that holds the operator's key");
        out.println("  --help, --version");
        out.println();
        out.println("Exit codes: 0 success, 1 failure, 2 wrong use.");
    }
}
