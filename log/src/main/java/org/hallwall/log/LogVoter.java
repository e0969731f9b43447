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

import org.hallwall.core.duty.EventLoopState;
import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.jboss.logging.Logger;

/**
 * Runs a replica on one thread, which handles messages and commands, stores the state and applies committed entries.
 */
public final class LogVoter implements Closeable {

    /** The maximum size of a command; larger ones are refused. */
    public static final int MAX_COMMAND_BYTES = LogLimits.MAX_COMMAND_BYTES;

    private static final Logger LOG = Logger.getLogger(LogVoter.class);
    private static final int QUEUE_CAPACITY = 1_024;
    private static final long TICK_MILLIS = 40;
    private static final int SNAPSHOT_THRESHOLD = 512;

    private final InstanceId self;
    private final LogStore store;
    private final StateMachine machine;
    private final LogTransport transport;
    private final Ticker ticker;
    private final Runnable onFailure;
    private final EventLoopThread eventLoop;
    private final LogReplica replica;
    private final PendingReads reads;
    private final Map<Long, PendingProposal> pending = new HashMap<>();
    private volatile ReplicaState state;
    private volatile boolean leaseHeld;
    private CompletableFuture<LeaveStatus> leave;
    private boolean failed;

    /**
     * Creates a voter; {@link #start()} starts it.
     *
     * @param config the configuration of this voter
     * @param store the open store
     * @param machine the state machine
     * @param transport sends messages to other voters
     * @param ticker the clock
     * @param random the source of randomized election timeouts
     * @param onFailure called once when the store has failed; the process must exit
     */
    public LogVoter(
            LogVoterConfig config,
            LogStore store,
            StateMachine machine,
            LogTransport transport,
            Ticker ticker,
            RandomGenerator random,
            Runnable onFailure) {
        this.self = config.self();
        this.store = store;
        this.machine = machine;
        this.transport = transport;
        this.ticker = ticker;
        this.onFailure = onFailure;
        RecoveredState recovered = store.recoveredState();
        machine.restore(recovered.snapshot().index(), recovered.snapshot().state());
        this.replica = new LogReplica(config, recovered, random, ticker.millis());
        this.reads = new PendingReads(replica);
        this.state = replica.state();
        this.eventLoop = new EventLoopThread("log", QUEUE_CAPACITY, TICK_MILLIS, this::tick);
    }

    /** Starts the thread. */
    public void start() {
        eventLoop.start();
    }

    /**
     * Enqueues a message from another voter; it is dropped if the queue is full.
     *
     * @param message the message
     */
    public void receive(LogMessage message) {
        eventLoop.offer(() -> {
            perform(replica.receive(ticker.millis(), message));
            advanceReads();
        });
    }

    /**
     * Enqueues a request to join the voters; only the leader handles it.
     *
     * @param newcomer the instance that requests to join
     */
    public void handleJoinRequest(InstanceId newcomer) {
        eventLoop.offer(() -> {
            replica.handleJoinRequest(ticker.millis(), newcomer);
            perform(replica.drainActions());
        });
    }

    /**
     * Hands leadership over and leaves the voters if there are more of them than needed.
     *
     * @return the outcome; does not complete while no leader can decide
     */
    public CompletableFuture<LeaveStatus> leave() {
        CompletableFuture<LeaveStatus> outcome = new CompletableFuture<>();
        if (!eventLoop.offer(() -> leave = outcome)) {
            outcome.completeExceptionally(notRun("the log queue is full"));
        }
        return outcome;
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @return its outcome; fails with a {@link LogProposalException} if there is none
     */
    public CompletableFuture<Object> propose(byte[] command) {
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        if (command.length > MAX_COMMAND_BYTES) {
            outcome.completeExceptionally(notRun(
                    "the command has " + command.length + " bytes, more than the limit of " + MAX_COMMAND_BYTES));
            return outcome;
        }
        if (!eventLoop.offer(() -> doPropose(command, outcome))) {
            outcome.completeExceptionally(notRun("the log queue is full"));
        }
        return outcome;
    }

    /**
     * Returns whether this voter is the leader and holds a valid lease.
     *
     * @return true if a local read sees every accepted change
     */
    public boolean holdsLease() {
        return leaseHeld;
    }

    /**
     * Returns the commit index once a quorum has confirmed that this voter is the leader. Unlike a lease, this is safe
     * after a suspension of the machine, during which the monotonic clock does not advance. It costs a round of
     * heartbeats.
     *
     * @return the commit index, with everything accepted before the call applied here; fails with a {@link
     *     LogProposalException}
     */
    public CompletableFuture<Long> quorumReadIndex() {
        CompletableFuture<Long> index = new CompletableFuture<>();
        boolean accepted = eventLoop.offer(() -> {
            reads.add(index);
            advanceReads();
        });
        if (!accepted) {
            index.completeExceptionally(notRun("the log queue is full"));
        }
        return index;
    }

    /**
     * Returns the commit index if this voter holds a valid lease. Right after a suspension of the machine the lease may
     * have expired unnoticed; {@link #quorumReadIndex()} does not rely on it.
     *
     * @return the commit index; fails with a {@link LogProposalException}
     */
    public CompletableFuture<Long> leaseReadIndex() {
        CompletableFuture<Long> index = new CompletableFuture<>();
        boolean accepted = eventLoop.offer(() -> {
            if (replica.holdsLease(ticker.millis())) {
                index.complete(replica.state().commit());
            } else {
                index.completeExceptionally(notRun("this voter is not the leader"));
            }
        });
        if (!accepted) {
            index.completeExceptionally(notRun("the log queue is full"));
        }
        return index;
    }

    /**
     * Returns the latest state of the replica.
     *
     * @return the state
     */
    public ReplicaState state() {
        return state;
    }

    /**
     * Returns the state of the task queue.
     *
     * @return the state
     */
    public EventLoopState eventLoopState() {
        return eventLoop.state();
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void tick() {
        perform(replica.tick(ticker.millis()));
        leaseHeld = replica.holdsLease(ticker.millis());
        advanceReads();
        advanceLeave();
    }

    private void advanceLeave() {
        if (leave == null || leave.isDone()) {
            return;
        }
        LeaveStatus status = replica.leave(ticker.millis());
        perform(replica.drainActions());
        if (status.isDecided()) {
            leave.complete(status);
        }
    }

    private void advanceReads() {
        reads.advance(ticker.millis(), () -> notRun("this voter is not the leader"));
        perform(replica.drainActions());
    }

    private void doPropose(byte[] command, CompletableFuture<Object> outcome) {
        if (failed) {
            outcome.completeExceptionally(notRun("the log storage has failed"));
            return;
        }
        if (replica.uncommittedBytes() + command.length > LogLimits.MAX_UNCOMMITTED_BYTES) {
            outcome.completeExceptionally(notRun("too many bytes of commands wait for a quorum"));
            return;
        }
        OptionalLong index = replica.propose(ticker.millis(), command);
        if (index.isEmpty()) {
            outcome.completeExceptionally(notRun("this voter is not the leader"));
            return;
        }
        pending.put(index.getAsLong(), new PendingProposal(replica.state().term(), outcome));
        perform(replica.drainActions());
    }

    private LogProposalException notRun(String message) {
        return new LogProposalException(Verdict.NOT_RUN, message, state.leader());
    }

    private void perform(List<LogAction> actions) {
        if (failed) {
            return;
        }
        try {
            for (LogAction a : actions) {
                performAction(a);
            }
            compactIfNeeded();
        } catch (LogStoreException e) {
            failed = true;
            LOG.errorf(e, "log: storage failure, stopping this voter");
            onFailure.run();
        }
        publish();
    }

    private void publish() {
        ReplicaState previous = state;
        state = replica.state();
        if (previous.role() != state.role()) {
            LOG.infof("log: %s is now %s in term %d", self, state.role(), state.term());
        }
        if (!previous.voters().equals(state.voters())) {
            LOG.infof("log: the voters are now %s", state.voters());
        }
    }

    private void performAction(LogAction action) throws LogStoreException {
        if (action instanceof LogAction.SaveVote a) {
            store.saveVote(a.vote());
        } else if (action instanceof LogAction.SaveFolder a) {
            store.saveFolder(a.folder());
        } else if (action instanceof LogAction.SaveEntries a) {
            store.saveEntries(a.entries());
        } else if (action instanceof LogAction.InstallSnapshot a) {
            store.saveSnapshot(a.snapshot(), a.retained());
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
        PendingProposal p = pending.remove(entry.index());
        if (p == null) {
            return;
        }
        if (p.term == entry.term()) {
            p.outcome.complete(outcome);
        } else {
            p.outcome.completeExceptionally(notRun("the entry was overwritten by another leader"));
        }
    }

    private void compactIfNeeded() throws LogStoreException {
        if (replica.committedSinceSnapshot() < SNAPSHOT_THRESHOLD
                && replica.committedBytesSinceSnapshot() < LogLimits.SNAPSHOT_THRESHOLD_BYTES) {
            return;
        }
        LogSnapshot snapshot = replica.compact(machine.snapshot());
        store.saveSnapshot(snapshot, replica.entriesAfterSnapshot());
    }

    /** A proposed command that waits for its commit. */
    private static final class PendingProposal {

        private final long term;
        private final CompletableFuture<Object> outcome;

        PendingProposal(long term, CompletableFuture<Object> outcome) {
            this.term = term;
            this.outcome = outcome;
        }
    }
}
