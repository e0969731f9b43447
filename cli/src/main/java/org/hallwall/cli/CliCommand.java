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

import org.hallwall.program.ProgramException;
import org.hallwall.program.ProgramVersion;

/** The commands of the client, with their usage and description for the help text. */
enum CliCommand {
    APPLY("apply FILE", "declare the resources of a file") {
        @Override
        void run(CliContext context) throws ProgramException {
            new ApplyCommand(context).run();
        }
    },
    GET("get KIND [NAME]", "print resources with their status") {
        @Override
        void run(CliContext context) throws ProgramException {
            new ReadCommands(context).get();
        }
    },
    WATCH("watch [VERSION]", "print changes as they are accepted") {
        @Override
        void run(CliContext context) throws ProgramException {
            new ReadCommands(context).watch();
        }
    },
    STATUS("status", "print the state of model groups, failure domains and entries") {
        @Override
        void run(CliContext context) throws ProgramException {
            new StatusCommand(context).run();
        }
    },
    DELETE("delete KIND NAME", "delete a resource") {
        @Override
        void run(CliContext context) throws ProgramException {
            new ApplyCommand(context).delete();
        }
    },
    DUMP("dump ADDRESS", "print the state of the process at an admin address") {
        @Override
        void run(CliContext context) throws ProgramException {
            new ReadCommands(context).dump();
        }
    },
    CHECK_SETTINGS("check-settings PROGRAM FILE", "check a settings file of hallwall-PROGRAM") {
        @Override
        void run(CliContext context) throws ProgramException {
            new CheckSettingsCommand(context).run();
        }
    },
    EXPLAIN("explain REQUEST-ID FILE...", "print the log lines of several processes that relate to a request") {
        @Override
        void run(CliContext context) throws ProgramException {
            new ExplainCommand(context).run();
        }
    },
    VERSION("version", "print the version") {
        @Override
        void run(CliContext context) {
            context.out().println("hallwall " + ProgramVersion.version());
        }
    };

    private final String usage;
    private final String description;

    CliCommand(String usage, String description) {
        this.usage = usage;
        this.description = description;
    }

    abstract void run(CliContext context) throws ProgramException;

    String usage() {
        return usage;
    }

    String description() {
        return description;
    }

    static CliCommand byName(String name) {
        for (CliCommand command : values()) {
            if (command.usage.split(" ")[0].equals(name)) {
                return command;
            }
        }
        return null;
    }
}
