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
package org.hallwall.program;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.hallwall.core.settings.SettingsException;
import org.hallwall.core.settings.SettingsReader;
import org.hallwall.core.settings.SettingsSchema;

/**
 * Command-line entry point of a daemon. Reads and validates the settings, starts the daemon and shuts it down on a signal.
 *
 * @param <S> the type of the daemon's settings
 */
public abstract class DaemonProgram<S extends DaemonSettings> {

    /** Names of the common command-line options. */
    private static final String SETTINGS = "settings";

    private static final String CHECK = "check";
    private static final String HELP = "help";
    private static final String VERSION = "version";

    private final String name;
    private final String purpose;
    private final SettingsSchema schema;
    private final Class<S> type;

    /**
     * Creates the program.
     *
     * @param name the name of the program
     * @param purpose a one-sentence description for the help text
     * @param schema the JSON schema of the settings
     * @param type the class that settings are mapped to
     */
    protected DaemonProgram(String name, String purpose, SettingsSchema schema, Class<S> type) {
        this.name = name;
        this.purpose = purpose;
        this.schema = schema;
        this.type = type;
    }

    /**
     * Starts the daemon.
     *
     * @param settings the validated settings
     * @return the running daemon
     * @throws ProgramException if it cannot start
     */
    protected abstract Daemon start(S settings) throws ProgramException;

    /**
     * Returns the destination of log lines.
     *
     * @return standard error by default
     */
    protected LogOutput logTarget() {
        return LogOutput.STANDARD_ERROR;
    }

    /**
     * Adds program-specific options to the common ones.
     *
     * @param options the options to extend
     */
    protected void addOptions(Options options) {
        // no additional options by default
    }

    /**
     * Handles a program-specific option that replaces starting the daemon.
     *
     * @param line the parsed command line
     * @param settings the validated settings
     * @param out receives the output
     * @return whether such an option was handled, so that the program exits
     * @throws ProgramException if the option cannot be handled
     */
    protected boolean runAlternative(CommandLine line, S settings, PrintStream out) throws ProgramException {
        return false;
    }

    /**
     * Runs the program until a shutdown signal.
     *
     * @param args the command line
     * @return the exit code
     */
    public ExitCode run(String... args) {
        return run(System.out, System.err, args);
    }

    /**
     * Runs the program with the given output streams.
     *
     * @param out receives regular output
     * @param err receives error messages
     * @param args the command line
     * @return the exit code
     */
    public ExitCode run(PrintStream out, PrintStream err, String... args) {
        try {
            return dispatch(out, new DefaultParser().parse(options(), args));
        } catch (ParseException e) {
            err.println(name + ": " + e.getMessage() + " (see --help)");
            return ExitCode.USAGE_ERROR;
        } catch (SettingsException e) {
            err.println(name + ": " + e.getMessage());
            return ExitCode.FAILURE;
        } catch (ProgramException e) {
            err.println(name + ": " + e.getMessage());
            return e.exitCode();
        }
    }

    private ExitCode dispatch(PrintStream out, CommandLine line)
            throws ParseException, SettingsException, ProgramException {
        if (line.hasOption(HELP)) {
            printHelp(out);
            return ExitCode.SUCCESS;
        }
        if (line.hasOption(VERSION)) {
            out.println(name + " " + ProgramVersion.version());
            return ExitCode.SUCCESS;
        }
        if (!line.hasOption(SETTINGS)) {
            throw new ParseException("--settings FILE is missing");
        }
        S settings = SettingsReader.read(Path.of(line.getOptionValue(SETTINGS)), schema, type);
        if (line.hasOption(CHECK)) {
            out.println("settings are valid");
            return ExitCode.SUCCESS;
        }
        if (!runAlternative(line, settings, out)) {
            serve(out, settings);
        }
        return ExitCode.SUCCESS;
    }

    private void serve(PrintStream out, S settings) throws ProgramException {
        LoggingSetup.configure(settings.logFormat(), settings.logLevel(), logTarget());
        CountDownLatch stopped = new CountDownLatch(1);
        CountDownLatch stopRequested = new CountDownLatch(1);
        Daemon daemon = start(settings);
        Thread hook = new Thread(() -> awaitStop(stopRequested, stopped), "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        out.println(name + " is ready");
        out.flush();
        awaitQuietly(stopRequested);
        daemon.close();
        stopped.countDown();
    }

    private static void awaitStop(CountDownLatch stopRequested, CountDownLatch stopped) {
        stopRequested.countDown();
        awaitQuietly(stopped);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Options options() {
        Options options = new Options();
        options.addOption(Option.builder("s")
                .longOpt(SETTINGS)
                .hasArg()
                .argName("FILE")
                .desc("the settings file, JSON with comments")
                .get());
        options.addOption(Option.builder()
                .longOpt(CHECK)
                .desc("check the settings and end")
                .get());
        options.addOption(
                Option.builder("h").longOpt(HELP).desc("print this help").get());
        options.addOption(
                Option.builder().longOpt(VERSION).desc("print the version").get());
        addOptions(options);
        return options;
    }

    private void printHelp(PrintStream out) throws ProgramException {
        HelpFormatter formatter = HelpFormatter.builder()
                .setHelpAppendable(new TextHelpAppendable(out))
                .setShowSince(false)
                .get();
        String footer = "Exit codes: 0 success, 1 failure, 2 wrong use.";
        try {
            formatter.printHelp(name + " --settings FILE", purpose, options(), footer, false);
        } catch (java.io.IOException e) {
            throw new ProgramException(ExitCode.FAILURE, "help cannot be printed", e);
        }
    }
}
