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

import java.io.PrintStream;
import java.util.List;

import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;

/**
 * The input and output of a command.
 *
 * @param args the arguments that follow the command name
 * @param api the client of the resource API
 * @param out the standard output
 */
record CliContext(List<String> args, ApiClient api, PrintStream out) {

    String requireArg(int i, String name) throws ProgramException {
        if (i >= args.size()) {
            throw new ProgramException(ExitCode.USAGE_ERROR, name + " is missing");
        }
        return args.get(i);
    }
}
