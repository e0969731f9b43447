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

import java.io.Closeable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import org.hallwall.core.duty.DutyState;
import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.jboss.logging.Logger;

/** Runs a replica: one thread takes messages and commands, stores what must last, applies what is committed. */
public final class LogVoter implements Closeable {

    private static final Logger LOG = Logger.getLogger(LogVoter.class);
    private static final int RING = 1_024;
    private static final long TICK_MILLIS = 40;
    private static final int COMPACT_AFTER = 512;

    private final InstanceId self;
    private final LogStore store;
    private final LogMachine machine;
    private final LogTransport transport;
    private final Ticker ticker;
    private final Runnable onFailure;
    private final DutyThread duty;
    private final LogReplica replica;
    private final LogReads reads;
    private final Map<Long, Pending> pending = new HashMap<>();
    private volatile LogState state;
    private volatile boolean lease;
    private boolean failed;

    /**
     * Creates a voter; {@link #start()} starts it.
     *
     * @param seat the place of this voter among the voters
     * @param store the open store
     * @param machine the state machine
     * @param transport sends messages
     * @param ticker the clock
     * @param random the source of election timeouts
     * @param onFailure called once when the store has failed; the process must end
     */
    public LogVoter(
            LogSeat seat,
            LogStore store,
            LogMachine machine,
            LogTransport transport,
            Ticker ticker,
            RandomGenerator random,
            Runnable onFailure) {
        this.self = seat.self();
        this.store = store;
        this.machine = machine;
        this.transport = transport;
        this.ticker = ticker;
        this.onFailure = onFailure;
        LogStored stored = store.stored();
        machine.restore(stored.snapshot().index(), stored.snapshot().state());
        this.replica = new LogReplica(seat, stored, random, ticker.millis());
        this.reads = new LogReads(replica);
        this.state = replica.state();
        this.duty = new DutyThread("log", RING, TICK_MILLIS, this::tick);
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /**
     * Takes a message of another voter; it is dropped when the ring is full.
     *
     * @param message the message
     */
    public void receive(LogMessage message) {
        duty.offer(() -> {
            perform(replica.receive(ticker.millis(), message));
            answerReads();
        });
    }

    /**
     * Considers a newcomer as a voter; only a leader acts on it.
     *
     * @param newcomer the newcomer
     */
    public void consider(InstanceId newcomer) {
        duty.offer(() -> {
            replica.consider(ticker.millis(), newcomer);
            perform(replica.taken());
        });
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @return its outcome, or a {@link LogProposalException}
     */
    public CompletableFuture<Object> propose(byte[] command) {
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        if (!duty.offer(() -> proposeNow(command, outcome))) {
            outcome.completeExceptionally(refused("the log's ring is full"));
        }
        return outcome;
    }

    /**
     * Says whether this voter leads and its applied state is up to date.
     *
     * @return true if a read here sees every accepted change
     */
    public boolean holdsLease() {
        return lease;
    }

    /**
     * Waits until a quorum confirms that this voter leads. No clock takes part: a machine that was suspended believes its lease, since its steady
     * clock stood still. Costs a round of heartbeats, so it is for reads by operators.
     *
     * @return the commit index, with all that was accepted before the call applied here, or a {@link LogProposalException}
     */
    public CompletableFuture<Long> confirmedIndex() {
        CompletableFuture<Long> index = new CompletableFuture<>();
        boolean taken = duty.offer(() -> {
            reads.ask(index);
            answerReads();
        });
        if (!taken) {
            index.completeExceptionally(refused("the log's ring is full"));
        }
        return index;
    }

    /**
     * Asks for the index that a read must wait for; only a leader with a lease answers. Just after a suspension of its machine a leader may
     * believe a lease that is over, which {@link #confirmedIndex()} does not.
     *
     * @return the commit index, or a {@link LogProposalException}
     */
    public CompletableFuture<Long> readIndex() {
        CompletableFuture<Long> index = new CompletableFuture<>();
        boolean taken = duty.offer(() -> {
            if (replica.holdsLease(ticker.millis())) {
                index.complete(replica.state().commit());
            } else {
                index.completeExceptionally(refused("this voter does not lead"));
            }
        });
        if (!taken) {
            index.completeExceptionally(refused("the log's ring is full"));
        }
        return index;
    }

    /**
     * Gives the latest state of the replica.
     *
     * @return the state
     */
    public LogState state() {
        return state;
    }

    /**
     * Gives the state of the ring.
     *
     * @return the state
     */
    public DutyState dutyState() {
        return duty.state();
    }

    @Override
    public void close() {
        duty.close();
    }

    private void tick() {
        perform(replica.tick(ticker.millis()));
        lease = replica.holdsLease(ticker.millis());
        answerReads();
    }

    private void answerReads() {
        reads.step(ticker.millis(), () -> refused("this voter does not lead"));
        perform(replica.taken());
    }

    private void proposeNow(byte[] command, CompletableFuture<Object> outcome) {
        if (failed) {
            outcome.completeExceptionally(refused("the store has failed"));
            return;
        }
        OptionalLong index = replica.propose(ticker.millis(), command);
        if (index.isEmpty()) {
            outcome.completeExceptionally(refused("this voter does not lead"));
            return;
        }
        pending.put(index.getAsLong(), new Pending(replica.state().term(), outcome));
        perform(replica.taken());
    }

    private LogProposalException refused(String message) {
        return new LogProposalException(Verdict.NOT_RUN, message, state.leader());
    }

    private void perform(List<LogAction> actions) {
        if (failed) {
            return;
        }
        try {
            for (LogAction a : actions) {
                performOne(a);
            }
            compactIfLong();
        } catch (LogStoreException e) {
            failed = true;
            LOG.errorf(e, "log: the store has failed, this voter stops");
            onFailure.run();
        }
        publish();
    }

    private void publish() {
        LogState before = state;
        state = replica.state();
        if (before.role() != state.role()) {
            LOG.infof("log: %s is now %s in term %d", self, state.role(), state.term());
        }
        if (!before.voters().equals(state.voters())) {
            LOG.infof("log: the voters are now %s", state.voters());
        }
    }

    private void performOne(LogAction action) throws LogStoreException {
        if (action instanceof LogAction.SaveVote a) {
            store.saveVote(a.vote());
        } else if (action instanceof LogAction.SaveFolder a) {
            store.saveFolder(a.folder());
        } else if (action instanceof LogAction.SaveEntries a) {
            store.saveEntries(a.entries());
        } else if (action instanceof LogAction.Restore a) {
            store.saveSnapshot(a.snapshot(), a.kept());
            machine.restore(a.snapshot().index(), a.snapshot().state());
        } else if (action instanceof LogAction.Apply a) {
            apply(a.entry());
        } else if (action instanceof LogAction.Send a) {
            transport.send(a.to(), a.message());
        } else if (action instanceof LogAction.SendSnapshot a) {
            transport.send(a.to(), new LogMessage.SnapshotRequest(a.term(), self, store.snapshot(), a.sentAt()));
        }
    }

    private void apply(LogEntry entry) {
        Object outcome = null;
        if (entry.kind() == LogEntryKind.COMMAND) {
            outcome = machine.apply(entry.index(), entry.payload());
        } else {
            machine.skip(entry.index());
        }
        Pending p = pending.remove(entry.index());
        if (p == null) {
            return;
        }
        if (p.term == entry.term()) {
            p.outcome.complete(outcome);
        } else {
            p.outcome.completeExceptionally(refused("another leader's entry took the place"));
        }
    }

    private void compactIfLong() throws LogStoreException {
        if (replica.committedSinceSnapshot() < COMPACT_AFTER) {
            return;
        }
        LogSnapshot snapshot = replica.compact(machine.snapshot());
        store.saveSnapshot(snapshot, replica.entriesAfterSnapshot());
    }

    /** A command that waits for its commit. */
    private static final class Pending {

        private final long term;
        private final CompletableFuture<Object> outcome;

        Pending(long term, CompletableFuture<Object> outcome) {
            this.term = term;
            this.outcome = outcome;
        }
    }
}
