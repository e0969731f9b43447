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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs three voters with large commands and checks the bounds on bytes. */
class LogLimitsTest {

    private static final int COMMAND_BYTES = 200_000;
    private static final long PATIENCE_SECONDS = 20;
    /** The entries of one message: the last may exceed the bound by its own size. */
    private static final long MAX_MESSAGE_BYTES = LogLimits.MAX_BATCH_BYTES + LogLimits.MAX_COMMAND_BYTES + 1_000;

    @TempDir
    private Path temp;

    private final List<InstanceId> ids = List.of(new InstanceId("c-0"), new InstanceId("c-1"), new InstanceId("c-2"));
    private final List<LogStore> stores = new ArrayList<>();
    private final List<LogVoter> voters = new ArrayList<>();
    private volatile boolean cut;
    private volatile long largestMessage;

    @BeforeEach
    void start() throws LogStoreException {
        for (InstanceId id : ids) {
            Path folder = temp.resolve(id.value());
            LogStore.form(folder);
            LogStore store = LogStore.open(folder);
            stores.add(store);
            voters.add(new LogVoter(
                    new LogVoterConfig(id, ids, LogTiming.DEFAULT),
                    store,
                    new LastCommandMachine(),
                    this::send,
                    Ticker.SYSTEM,
                    new Random(id.hashCode()),
                    () -> {}));
        }
        voters.forEach(LogVoter::start);
    }

    @AfterEach
    void stop() throws LogStoreException {
        voters.forEach(LogVoter::close);
        for (LogStore s : stores) {
            s.close();
        }
    }

    // guards against a log that holds whole configurations until their number reaches the threshold
    @Test
    void snapshotsByBytes() throws Exception {
        LogVoter leader = awaitLeader();
        for (int i = 1; i <= 60; i++) {
            leader.propose(command(i, COMMAND_BYTES)).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        }
        assertTrue(
                leader.state().snapshotIndex() > 30,
                "snapshot at " + leader.state().snapshotIndex());
        for (LogStore s : stores) {
            assertTrue(s.entriesBytes() < 2 * LogLimits.SNAPSHOT_THRESHOLD_BYTES, s.entriesBytes() + " bytes");
        }
    }

    // guards against a leader without a quorum that takes commands until its heap is full
    @Test
    void refusesCommandsThatWaitForQuorum() throws Exception {
        LogVoter leader = awaitLeader();
        cut = true;
        List<CompletableFuture<Object>> outcomes = new ArrayList<>();
        for (int i = 1; i <= 30; i++) {
            outcomes.add(leader.propose(command(i, COMMAND_BYTES)));
        }
        ExecutionException e = assertThrows(
                ExecutionException.class,
                () -> outcomes.get(outcomes.size() - 1).get(PATIENCE_SECONDS, TimeUnit.SECONDS));
        assertEquals(
                Verdict.NOT_RUN,
                assertInstanceOf(LogProposalException.class, e.getCause()).verdict());
        assertEquals(
                "too many bytes of commands wait for a quorum", e.getCause().getMessage());
        cut = false;
        outcomes.get(0).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertTrue(largestMessage <= MAX_MESSAGE_BYTES, largestMessage + " bytes of entries in a message");
    }

    // guards against a command that is acknowledged and fits into no message or snapshot
    @Test
    void refusesLargeCommand() throws Exception {
        LogVoter leader = awaitLeader();
        CompletableFuture<Object> outcome = leader.propose(command(1, LogLimits.MAX_COMMAND_BYTES + 1));
        ExecutionException e =
                assertThrows(ExecutionException.class, () -> outcome.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
        assertTrue(
                e.getCause().getMessage().contains("more than the limit"),
                e.getCause().getMessage());
        leader.propose(command(1, LogLimits.MAX_COMMAND_BYTES)).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    private synchronized void send(InstanceId to, LogMessage message) {
        if (message instanceof LogMessage.AppendRequest m) {
            long bytes = m.entries().stream().mapToLong(LogLimits::bytesOf).sum();
            largestMessage = Math.max(largestMessage, bytes);
        }
        if (!cut) {
            voters.get(ids.indexOf(to)).receive(message);
        }
    }

    private LogVoter awaitLeader() {
        return Awaitility.await()
                .atMost(Duration.ofSeconds(PATIENCE_SECONDS))
                .until(() -> voters.stream().filter(LogVoter::holdsLease).findFirst(), Optional::isPresent)
                .orElseThrow();
    }

    private static byte[] command(int number, int bytes) {
        return ByteBuffer.allocate(bytes).putInt(number).array();
    }
}
