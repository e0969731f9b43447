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

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures the logging of a program. */
public final class LoggingSetup {

    private static final String PROJECT_LOGGER = "org.hallwall";

    private LoggingSetup() {}

    /**
     * Replaces the handlers of the root logger by a single console handler.
     *
     * @param format the format of log lines
     * @param level the minimum level of loggers below {@code org.hallwall}
     * @param output the destination of log lines
     */
    public static void configure(LogFormat format, String level, LogOutput output) {
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        ConsoleHandler handler = new ConsoleHandler(output.console(), format.formatter());
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        Logger.getLogger(PROJECT_LOGGER).setLevel(Level.parse(level));
    }
}
