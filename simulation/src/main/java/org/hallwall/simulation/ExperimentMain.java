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
package org.hallwall.simulation;

import java.io.PrintStream;
import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hallwall.program.ExitCode;
import org.hallwall.program.LogFormat;
import org.hallwall.program.LogOutput;
import org.hallwall.program.LoggingSetup;
import org.hallwall.program.ProgramVersion;
import org.hallwall.serving.decision.Mechanism;
import org.hallwall.serving.decision.Mechanisms;

/** Command-line entry point of {@code hallwall-experiment}, an ablation study of the planner mechanisms on simulated load. */
public final class ExperimentMain {

    private ExperimentMain() {}

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        LoggingSetup.configure(LogFormat.TEXT, "ERROR", LogOutput.STANDARD_ERROR);
        System.exit(run(System.out, System.err, args).code());
    }

    /**
     * Runs the program with the given output streams.
     *
     * @param out receives the result table
     * @param err receives error messages
     * @param args the command line
     * @return the exit code
     */
    public static ExitCode run(PrintStream out, PrintStream err, String... args) {
        try {
            return dispatch(out, new DefaultParser().parse(options(), args));
        } catch (ParseException e) {
            err.println("hallwall-experiment: " + e.getMessage() + " (see --help)");
            return ExitCode.USAGE_ERROR;
        } catch (IllegalArgumentException e) {
            err.println("hallwall-experiment: invalid pattern, mechanism or seed count: " + e.getMessage());
            return ExitCode.USAGE_ERROR;
        }
    }

    private static ExitCode dispatch(PrintStream out, CommandLine line) throws ParseException {
        if (line.hasOption("help")) {
            printHelp(out);
            return ExitCode.SUCCESS;
        }
        if (line.hasOption("version")) {
            out.println("hallwall-experiment " + ProgramVersion.version());
            return ExitCode.SUCCESS;
        }
        if (!line.hasOption("pattern") || !line.hasOption("seeds")) {
            throw new ParseException("--pattern PATTERN and --seeds COUNT are missing");
        }
        LoadPattern pattern = LoadPattern.valueOf(line.getOptionValue("pattern"));
        int seeds = Integer.parseInt(line.getOptionValue("seeds"));
        if (seeds < 2) {
            throw new ParseException("--seeds must be at least 2");
        }
        Mechanism[] chosen = line.hasOption("without")
                ? new Mechanism[] {Mechanism.valueOf(line.getOptionValue("without"))}
                : Mechanism.values();
        printTable(out, pattern, chosen, seeds);
        return ExitCode.SUCCESS;
    }

    /** Prints, per mechanism, the worth with all mechanisms and the change when this one is disabled. */
    private static void printTable(PrintStream out, LoadPattern pattern, Mechanism[] mechanisms, int seeds) {
        out.println("pattern            without           worth  change  95 in 100");
        for (Mechanism m : mechanisms) {
            PolicyComparison c =
                    PolicyComparison.compare(pattern.scenario(), Mechanisms.ALL, Mechanisms.without(m), seeds);
            out.printf(
                    Locale.ROOT,
                    "%-18s %-16s  %.3f  %+.3f  +-%.3f%n",
                    pattern,
                    m,
                    c.mean(),
                    c.difference(),
                    c.halfWidth());
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(Option.builder("p")
                .longOpt("pattern")
                .hasArg()
                .argName("PATTERN")
                .get());
        options.addOption(
                Option.builder("s").longOpt("seeds").hasArg().argName("COUNT").get());
        options.addOption(Option.builder()
                .longOpt("without")
                .hasArg()
                .argName("MECHANISM")
                .get());
        options.addOption(Option.builder("h").longOpt("help").get());
        options.addOption(Option.builder().longOpt("version").get());
        return options;
    }

    private static void printHelp(PrintStream out) {
        out.println("usage: hallwall-experiment --pattern PATTERN --seeds COUNT [--without MECHANISM]");
        out.println();
        out.println("Plays simulated days with all mechanisms of the decisions and with each one switched off.");
        out.println();
        out.println("  -p, --pattern PATTERN    the load:");
        for (LoadPattern p : LoadPattern.values()) {
            out.println("                             " + p);
        }
        out.println("  -s, --seeds COUNT        how many days; the same ones for both");
        out.println("      --without MECHANISM  only this one:");
        for (Mechanism m : Mechanism.values()) {
            out.println("                             " + m);
        }
        out.println("  -h, --help, --version");
        out.println();
        out.println("Exit codes: 0 success, 1 failure, 2 wrong use.");
    }
}
