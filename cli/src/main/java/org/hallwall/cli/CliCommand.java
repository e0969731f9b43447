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

/** The commands of the client. */
enum CliCommand {
    APPLY("apply FILE", "declare the resources of a file") {
        @Override
        void run(CliContext c) throws ProgramException {
            new ApplyCommand(c).run();
        }
    },
    GET("get KIND [NAME]", "print resources with their status") {
        @Override
        void run(CliContext c) throws ProgramException {
            new ReadCommands(c).get();
        }
    },
    WATCH("watch [VERSION]", "print changes as they are accepted") {
        @Override
        void run(CliContext c) throws ProgramException {
            new ReadCommands(c).watch();
        }
    },
    STATUS("status", "print what serves, what is stranded and which entries hold which version") {
        @Override
        void run(CliContext c) throws ProgramException {
            new StatusCommand(c).run();
        }
    },
    DELETE("delete KIND NAME", "delete a resource") {
        @Override
        void run(CliContext c) throws ProgramException {
            new ApplyCommand(c).delete();
        }
    },
    DUMP("dump ADDRESS", "print the state of the process at an admin address") {
        @Override
        void run(CliContext c) throws ProgramException {
            new ReadCommands(c).dump();
        }
    },
    CHECK_SETTINGS("check-settings PROGRAM FILE", "check a settings file of hallwall-PROGRAM") {
        @Override
        void run(CliContext c) throws ProgramException {
            new CheckSettingsCommand(c).run();
        }
    },
    EXPLAIN("explain REQUEST-ID FILE...", "print the story of a request from the logs of many processes") {
        @Override
        void run(CliContext c) throws ProgramException {
            new ExplainCommand(c).run();
        }
    },
    VERSION("version", "print the version") {
        @Override
        void run(CliContext c) {
            c.out().println("hallwall " + ProgramVersion.text());
        }
    };

    private final String usage;
    private final String purpose;

    CliCommand(String usage, String purpose) {
        this.usage = usage;
        this.purpose = purpose;
    }

    abstract void run(CliContext c) throws ProgramException;

    String usage() {
        return usage;
    }

    String purpose() {
        return purpose;
    }

    static CliCommand byName(String name) {
        for (CliCommand c : values()) {
            if (c.usage.split(" ")[0].equals(name)) {
                return c;
            }
        }
        return null;
    }
}
