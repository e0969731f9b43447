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
package org.hallwall.integration;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A process of a fleet, started by the launcher script of its program. */
final class FleetProcess {

    private static final Path DISTRIBUTION = Path.of("..", "dist", "target", "hallwall");
    private static final long STOP_TIMEOUT_SECONDS = 30;

    private final String program;
    private final Path settings;
    private final Path log;
    private Process process;

    FleetProcess(String program, Path settings) {
        this.program = program;
        this.settings = settings;
        this.log = settings.resolveSibling(settings.getFileName() + ".log");
    }

    void start() throws IOException {
        process = new ProcessBuilder(launcherPath(program), "--settings", settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    static String launcherPath(String program) {
        return DISTRIBUTION.resolve("bin").resolve(program).toString();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Terminates the process gracefully and returns its exit code. */
    int stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(program + " did not stop");
        }
        return process.exitValue();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    String readLog() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    File logFile() {
        return log.toFile();
    }
}
