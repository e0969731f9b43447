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
package org.hallwall.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hallwall.core.settings.SettingsException;
import org.hallwall.core.settings.SettingsReader;
import org.hallwall.core.settings.SettingsSchema;
import org.hallwall.program.ExitCode;
import org.hallwall.program.LogFormat;
import org.hallwall.program.LogOutput;
import org.hallwall.program.LoggingSetup;
import org.hallwall.program.ProgramVersion;

/** Command-line entry point of {@code hallwall-load}. */
public final class LoadMain {

    private static final SettingsSchema SCHEMA = SettingsSchema.load(LoadMain.class, "experiment.schema.json");

    private LoadMain() {}

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        LoggingSetup.configure(LogFormat.TEXT, "INFO", LogOutput.STANDARD_ERROR);
        System.exit(run(System.out, System.err, args).code());
    }

    /**
     * Runs the program with the given output streams.
     *
     * @param out receives reports
     * @param err receives error messages
     * @param args the command line
     * @return the exit code
     */
    public static ExitCode run(PrintStream out, PrintStream err, String... args) {
        try {
            return dispatch(out, new DefaultParser().parse(options(), args));
        } catch (ParseException e) {
            err.println("hallwall-load: " + e.getMessage() + " (see --help)");
            return ExitCode.USAGE_ERROR;
        } catch (SettingsException | IOException e) {
            err.println("hallwall-load: " + e.getMessage());
            return ExitCode.FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILURE;
        }
    }

    private static ExitCode dispatch(PrintStream out, CommandLine line)
            throws ParseException, SettingsException, IOException, InterruptedException {
        if (line.hasOption("help")) {
            printHelp(out);
            return ExitCode.SUCCESS;
        }
        if (line.hasOption("version")) {
            out.println("hallwall-load " + ProgramVersion.version());
            return ExitCode.SUCCESS;
        }
        if (line.hasOption("policies")) {
            out.print(new RepairPolicyTable(Integer.parseInt(line.getOptionValue("policies"))).text());
            return ExitCode.SUCCESS;
        }
        if (!line.hasOption("settings")) {
            throw new ParseException("--settings FILE or --policies SEEDS is missing");
        }
        Path file = Path.of(line.getOptionValue("settings"));
        LoadExperiment experiment = SettingsReader.read(file, SCHEMA, LoadExperiment.class);
        if (line.hasOption("check")) {
            out.println("settings are valid");
            return ExitCode.SUCCESS;
        }
        LoadReport report = new LoadReport(new LoadRun(experiment).run());
        out.print(report.text());
        if (line.hasOption("report")) {
            report.write(Path.of(line.getOptionValue("report")));
        }
        return ExitCode.SUCCESS;
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder("s").longOpt("settings").hasArg().argName("FILE").get());
        options.addOption(
                Option.builder().longOpt("report").hasArg().argName("FOLDER").get());
        options.addOption(
                Option.builder().longOpt("policies").hasArg().argName("SEEDS").get());
        options.addOption(Option.builder().longOpt("check").get());
        options.addOption(Option.builder("h").longOpt("help").get());
        options.addOption(Option.builder().longOpt("version").get());
        return options;
    }

    private static void printHelp(PrintStream out) {
        out.println("usage: hallwall-load --settings FILE [--report FOLDER] [--check]");
        out.println("       hallwall-load --policies SEEDS");
        out.println();
        out.println("  -s, --settings FILE   the experiment, JSON with comments");
        out.println("      --report FOLDER   where to write the report as text, JSON and SVG");
        out.println("      --check           check the experiment and end");
        out.println("      --policies SEEDS  compare the repair policies over so many seeded schedules of failures");
        out.println("  -h, --help, --version");
        out.println();
        out.println("Exit codes: 0 success, 1 failure, 2 wrong use.");
    }
}
