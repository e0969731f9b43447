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
package org.hallwall.fakes;

import org.hallwall.core.settings.SettingsSchema;
import org.hallwall.program.Daemon;
import org.hallwall.program.DaemonProgram;
import org.hallwall.program.ProgramException;

/** Command-line entry point of {@code hallwall-fake-engine}. */
public final class FakeEngineMain extends DaemonProgram<FakeEngineSettings> {

    /** Creates the program. */
    public FakeEngineMain() {
        super(
                "hallwall-fake-engine",
                "Stands in for model engines and plain services; for tests and measurement only.",
                SettingsSchema.load(FakeEngineMain.class, "fake-engine.schema.json"),
                FakeEngineSettings.class);
    }

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new FakeEngineMain().run(args).code());
    }

    @Override
    protected Daemon start(FakeEngineSettings settings) throws ProgramException {
        return FakeEngineDaemon.start(settings);
    }
}
