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

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.hallwall.core.id.InstanceId;

/**
 * A simulated voter: a replica and a disk that keeps completed writes only. The state machine is the index of the last
 * applied entry.
 */
final class SimulatedVoter {

    private static final int SNAPSHOT_THRESHOLD = 25;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final InstanceId id;
    private final List<InstanceId> voters;
    private final LogSimulation simulation;
    private final Random random;
    private DataFolder folder;
    private LogVote vote = new LogVote(0, null);
    private LogSnapshot snapshot = LogSnapshot.EMPTY;
    private List<LogEntry> entries = new ArrayList<>();
    private LogReplica replica;
    private long applied;
    private int lostDisks;
    private long diskLostAt = NEVER;

    SimulatedVoter(InstanceId id, List<InstanceId> voters, LogSimulation simulation, Random random) {
        this.id = id;
        this.voters = voters;
        this.simulation = simulation;
        this.random = random;
        this.folder = new DataFolder(id + "-0", true);
    }

    /** Creates an empty instance at a new address, which has the current voters as its initial ones. */
    static SimulatedVoter blank(InstanceId id, List<InstanceId> voters, LogSimulation simulation, Random random) {
        SimulatedVoter v = new SimulatedVoter(id, voters, simulation, random);
        v.folder = new DataFolder(id + "-0", false);
        return v;
    }

    void handleJoinRequest(long now, InstanceId newcomer) {
        replica.handleJoinRequest(now, newcomer);
        perform(now, replica.drainActions());
    }

    LeaveStatus leave(long now) {
        LeaveStatus status = replica.leave(now);
        perform(now, replica.drainActions());
        return status;
    }

    void recordDiskLoss(long now) {
        diskLostAt = now;
    }

    long diskLostAt() {
        return diskLostAt;
    }

    InstanceId id() {
        return id;
    }

    boolean isUp() {
        return replica != null;
    }

    LogReplica replica() {
        return replica;
    }

    long applied() {
        return applied;
    }

    DataFolder folder() {
        return folder;
    }

    void start(long now) {
        RecoveredState recovered = new RecoveredState(folder, vote, snapshot, List.copyOf(entries));
        LogVoterConfig config = new LogVoterConfig(id, voters, simulation.toleratedDiskFailures(), simulation.timing());
        replica = new LogReplica(config, recovered, random, now);
        applied = snapshot.index();
    }

    void crash() {
        replica = null;
    }

    void loseDisk() {
        lostDisks++;
        folder = new DataFolder(id + "-" + lostDisks, false);
        vote = new LogVote(0, null);
        snapshot = LogSnapshot.EMPTY;
        entries = new ArrayList<>();
    }

    void receive(long now, LogMessage message) {
        perform(now, replica.receive(now, message));
    }

    void tick(long now) {
        perform(now, replica.tick(now));
    }

    boolean propose(long now, byte[] command) {
        boolean accepted = replica.propose(now, command).isPresent();
        perform(now, replica.drainActions());
        return accepted;
    }

    /** Carries out the actions, with a crash possible before each one; skipped actions do not change the disk. */
    private void perform(long now, List<LogAction> actions) {
        for (LogAction a : actions) {
            if (random.nextInt(LogSimulation.CRASH_ONE_IN) == 0 && simulation.mayCrash()) {
                crash();
                return;
            }
            performAction(now, a);
        }
        if (replica.committedSinceSnapshot() > SNAPSHOT_THRESHOLD) {
            snapshot = replica.compact(new byte[0]);
            entries = new ArrayList<>(replica.entriesAfterSnapshot());
        }
    }

    private void performAction(long now, LogAction action) {
        if (action instanceof LogAction.SaveVote a) {
            vote = a.vote();
        } else if (action instanceof LogAction.SaveFolder a) {
            folder = a.folder();
        } else if (action instanceof LogAction.SaveEntries a) {
            save(a.entries());
        } else if (action instanceof LogAction.InstallSnapshot a) {
            snapshot = a.snapshot();
            entries = new ArrayList<>(a.retained());
            applied = a.snapshot().index();
        } else if (action instanceof LogAction.Apply a) {
            simulation.applied(this, a.entry(), applied);
            applied = a.entry().index();
        } else if (action instanceof LogAction.Send a) {
            simulation.send(now, id, a.to(), a.message());
        } else if (action instanceof LogAction.SendSnapshot a) {
            simulation.send(now, id, a.to(), new LogMessage.SnapshotRequest(a.term(), id, snapshot, a.sentAt()));
        }
    }

    private void save(List<LogEntry> batch) {
        int keep = (int) (batch.get(0).index() - snapshot.index() - 1);
        entries.subList(keep, entries.size()).clear();
        entries.addAll(batch);
    }
}
