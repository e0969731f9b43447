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

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Assertions;

/** An entry in a process with the memory of the deployed one. */
final class RelayProcess implements Closeable {

    private static final List<String> JVM_OPTIONS = List.of(
            "-Xms24m",
            "-Xmx64m",
            "-XX:MaxDirectMemorySize=24m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
            "-Dreactor.netty.native=false",
            "-Dreactor.netty.ioWorkerCount=1",
            "-Dreactor.schedulers.defaultPoolSize=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.numDirectArenas=1");

    private final Process process;
    private final Path log;
    private final int port;
    private final int forwardingPort;

    /**
     * Starts an entry and waits until it listens.
     *
     * @param log the file for its log
     * @param args the arguments of {@link RelayProgram}
     */
    RelayProcess(Path log, List<String> args) throws IOException {
        this.log = log;
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), RelayProgram.class.getName()));
        command.addAll(args);
        process = new ProcessBuilder(command).redirectError(log.toFile()).start();
        // the process must not outlive a test run that is ended by a signal
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        String ports = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
                .lines()
                .filter(l -> l.matches("\\d+ \\d+"))
                .findFirst()
                .orElseThrow(() -> new IOException("the entry did not start, see " + log));
        port = Integer.parseInt(ports.split(" ")[0]);
        forwardingPort = Integer.parseInt(ports.split(" ")[1]);
    }

    int port() {
        return port;
    }

    int forwardingPort() {
        return forwardingPort;
    }

    /** Fails if the process has ended, or has run out of memory in any of its steps. */
    void assertHealthy() throws IOException {
        Assertions.assertTrue(process.isAlive(), "the process has ended");
        String text = log();
        Assertions.assertFalse(
                text.contains("OutOfMemoryError"), text.length() > 3_000 ? text.substring(0, 3_000) : text);
    }

    String log() throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
