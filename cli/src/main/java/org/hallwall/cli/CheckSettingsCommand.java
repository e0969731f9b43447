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

import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.SettingsException;
import org.hallwall.core.settings.SettingsReader;
import org.hallwall.core.settings.SettingsSchema;
import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;

/** Validates a settings file against the schema of its program. */
final class CheckSettingsCommand {

    private static final Map<String, String> SCHEMAS = Map.of(
            "entry", "/org/hallwall/entry/entry.schema.json",
            "control", "/org/hallwall/control/control.schema.json",
            "fake-engine", "/org/hallwall/fakes/fake-engine.schema.json");

    private final CliContext context;

    CheckSettingsCommand(CliContext context) {
        this.context = context;
    }

    void run() throws ProgramException {
        String schema = SCHEMAS.get(context.requireArg(0, "PROGRAM"));
        if (schema == null) {
            throw new ProgramException(ExitCode.USAGE_ERROR, "PROGRAM must be entry, control or fake-engine");
        }
        Path file = Path.of(context.requireArg(1, "FILE"));
        try {
            SettingsReader.read(file, SettingsSchema.load(CheckSettingsCommand.class, schema), JsonNode.class);
        } catch (SettingsException e) {
            throw new ProgramException(ExitCode.FAILURE, e.getMessage());
        }
        context.out().println("settings are valid");
    }
}
