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
package org.hallwall.control;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.hallwall.core.settings.SettingsSchema;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogStoreException;
import org.hallwall.program.Daemon;
import org.hallwall.program.DaemonProgram;
import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;

/** The program {@code hallwall-control}. */
public final class ControlMain extends DaemonProgram<ControlSettings> {

    private static final String FORM_OPTION = "form";

    /** Creates the program. */
    public ControlMain() {
        super(
                "hallwall-control",
                "Keeps the declarations on a voter and serves the resource API.",
                SettingsSchema.load(ControlMain.class, "control.schema.json"),
                ControlSettings.class);
    }

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new ControlMain().run(args).code());
    }

    @Override
    protected void addOptions(Options options) {
        options.addOption(Option.builder()
                .longOpt(FORM_OPTION)
                .desc("make the data folder of a new fleet and end; never on a voter that lost its disk")
                .get());
    }

    @Override
    protected boolean runAlternative(CommandLine line, ControlSettings settings, PrintStream out)
            throws ProgramException {
        if (!line.hasOption(FORM_OPTION)) {
            return false;
        }
        try {
            LogStore.form(settings.dataFolder());
        } catch (LogStoreException e) {
            throw new ProgramException(ExitCode.FAILURE, e.getMessage(), e);
        }
        out.println("data folder formed");
        return true;
    }

    @Override
    protected Daemon start(ControlSettings settings) throws ProgramException {
        return ControlDaemon.start(settings);
    }
}
