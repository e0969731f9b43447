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
package org.hallwall.log;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;

/**
 * A program that runs a single voter in a heap of its own.
 *
 * <p>{@code write FOLDER COMMANDS BYTES} forms a data folder and commits commands; {@code read FOLDER} starts the voter
 * again and prints the number of the last command, the milliseconds of the start and the peak of the heap in bytes.
 */
public final class SingleVoterProgram {

    private static final InstanceId SELF = new InstanceId("c-0");
    private static final long PATIENCE_SECONDS = 20;
    private static final long POLL_MILLIS = 5;

    private final LastCommandMachine machine = new LastCommandMachine();
    private final LogStore store;
    private final LogVoter voter;

    private SingleVoterProgram(Path folder) throws LogStoreException {
        this.store = LogStore.open(folder);
        this.voter = new LogVoter(
                new LogVoterConfig(SELF, List.of(SELF), LogTiming.DEFAULT),
                store,
                machine,
                (to, message) -> {},
                Ticker.SYSTEM,
                new Random(1),
                () -> Runtime.getRuntime().halt(2));
    }

    /**
     * Runs the program; exits with 0 if it succeeds.
     *
     * @param args see the class comment
     * @throws Exception if it fails
     */
    public static void main(String[] args) throws Exception {
        // The default handler of a thread would leave the process running without it.
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, e) -> Runtime.getRuntime().halt(3));
        Path folder = Path.of(args[1]);
        if (args[0].equals("write")) {
            LogStore.form(folder);
            new SingleVoterProgram(folder).write(Integer.parseInt(args[2]), Integer.parseInt(args[3]));
        } else {
            long start = System.nanoTime();
            SingleVoterProgram program = new SingleVoterProgram(folder);
            program.awaitLeadership();
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            System.out.println(program.machine.last() + " " + millis + " " + HeapPeak.bytes());
        }
        Runtime.getRuntime().halt(0);
    }

    private void write(int commands, int bytes) throws Exception {
        awaitLeadership();
        Random random = new Random(1);
        for (int i = 1; i <= commands; i++) {
            byte[] command = new byte[bytes];
            random.nextBytes(command);
            ByteBuffer.wrap(command).putInt(i);
            CompletableFuture<Object> outcome = voter.propose(command);
            outcome.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        }
        System.out.println(store.entriesBytes());
    }

    private void awaitLeadership() throws InterruptedException, TimeoutException {
        voter.start();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!voter.holdsLease()) {
            if (System.nanoTime() > deadline) {
                throw new TimeoutException("the voter does not lead");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }
}
