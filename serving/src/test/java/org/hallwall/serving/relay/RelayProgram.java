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
package org.hallwall.serving.relay;

import org.hallwall.program.LogFormat;
import org.hallwall.program.LogOutput;
import org.hallwall.program.LoggingSetup;

/** An entry as a process of its own. It ends when its standard input does. */
public final class RelayProgram {

    private RelayProgram() {}

    /**
     * Prints the ports for clients and for entries.
     *
     * @param args the ports of targets; or "entry", the port for entries of another one, and the ports of targets that cannot be reached
     * @throws Exception if the ports cannot be opened
     */
    public static void main(String[] args) throws Exception {
        LoggingSetup.configure(LogFormat.TEXT, "INFO", LogOutput.STANDARD_ERROR);
        try (RelayFixture entry = new RelayFixture()) {
            int first = 0;
            if (args[0].equals("entry")) {
                entry.addEntry("helper", Integer.parseInt(args[1]));
                first = 2;
            }
            for (int i = first; i < args.length; i++) {
                entry.add("app", "i-app" + i, Integer.parseInt(args[i]));
                entry.add("llm", "i-llm" + i, Integer.parseInt(args[i]));
            }
            System.out.println(entry.port() + " " + entry.server().forwardingPort());
            System.in.read();
        }
    }
}
