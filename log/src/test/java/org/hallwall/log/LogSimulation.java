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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.hallwall.core.id.InstanceId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Simulates voters under one seeded schedule of lost, duplicated and reordered messages, partitions, crashes and disk
 * losses, and checks the safety properties after each step.
 */
final class LogSimulation {

    /** Every start waits for one election timeout. */
    static final LogTiming WITHOUT_COLD_START_PROBES = new LogTiming(200, 40, 5, 0);
    /** Voters probe whether all have just started, and all crash at once now and then. */
    static final LogTiming WITH_COLD_START_PROBES = new LogTiming(200, 40, 5, 40);

    static final int CRASH_ONE_IN = 400;
    private static final int STEPS = 2_500;
    private static final int STEP_MILLIS = 10;
    private static final int SETTLE_STEPS = 3_000;
    /** Longer than the time after which a silent voter is removed. */
    private static final int MAX_FREEZE_MILLIS = 5_000;
    /** The time in which a voter whose disk was lost is admitted again once all others run. */
    private static final long DISK_LOSS_INTERVAL_MILLIS = 3_000;

    /** How long an instance asks to leave before it ends. */
    private static final long LEAVE_MILLIS = 3_000;

    private static final int MAX_EXTRA_INSTANCES = 3;

    private final Random random;
    private final Map<InstanceId, SimulatedVoter> voters = new LinkedHashMap<>();
    private final PriorityQueue<InFlightMessage> network = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Set<InstanceId> partitioned = new HashSet<>();
    private final Map<Long, InstanceId> leaders = new HashMap<>();
    private final Map<Long, LogEntry> committed = new HashMap<>();
    private final MembershipSchedule schedule;
    private final int initialSize;
    private final Map<InstanceId, Long> frozenUntil = new HashMap<>();
    private final LogTiming timing;
    private InstanceId newcomer;
    private InstanceId leaving;
    private long leaveDeadline;
    private int replacements;
    private boolean faultFree;
    private long now;
    private int proposals;

    LogSimulation(long seed, int size) {
        this(seed, size, MembershipSchedule.FIXED, WITHOUT_COLD_START_PROBES);
    }

    LogSimulation(long seed, int size, MembershipSchedule schedule, LogTiming timing) {
        this.schedule = schedule;
        this.initialSize = size;
        this.timing = timing;
        random = new Random(seed);
        List<InstanceId> ids = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            ids.add(new InstanceId("v" + i));
        }
        for (InstanceId id : ids) {
            SimulatedVoter v = new SimulatedVoter(id, ids, this, new Random(random.nextLong()));
            voters.put(id, v);
            v.start(0);
        }
    }

    /** Runs the schedule, waits until the voters have converged, and returns the number of committed entries. */
    long run() {
        for (int i = 0; i < STEPS; i++) {
            injectFault();
            step();
        }
        settle();
        return committed.size();
    }

    /** Starts all voters together without faults and returns the milliseconds until the first leader is elected. */
    long millisToFirstLeader() {
        faultFree = true;
        while (leaders.isEmpty()) {
            step();
        }
        return now;
    }

    int toleratedDiskFailures() {
        return (initialSize - 1) / 2;
    }

    LogTiming timing() {
        return timing;
    }

    boolean mayCrash() {
        return !faultFree;
    }

    void send(long at, InstanceId from, InstanceId to, LogMessage message) {
        if (!faultFree && random.nextInt(20) == 0) {
            return;
        }
        network.add(new InFlightMessage(at + 1 + random.nextInt(faultFree ? 5 : 60), from, to, message));
        if (!faultFree && random.nextInt(30) == 0) {
            network.add(new InFlightMessage(at + 1 + random.nextInt(300), from, to, message));
        }
    }

    /** Checks that entries are applied in order and that a committed entry is never replaced. */
    void applied(SimulatedVoter voter, LogEntry entry, long lastApplied) {
        assertEquals(lastApplied + 1, entry.index(), "entries are applied in order");
        LogEntry known = committed.putIfAbsent(entry.index(), entry);
        if (known != null) {
            assertEquals(known.term(), entry.term(), "index " + entry.index() + " has one term, on " + voter.id());
            assertTrue(Arrays.equals(known.payload(), entry.payload()), "index " + entry.index() + " has one content");
        }
    }

    private void step() {
        now += STEP_MILLIS;
        while (!network.isEmpty() && network.peek().at <= now) {
            deliver(network.poll());
        }
        for (SimulatedVoter v : voters.values()) {
            if (isRunning(v)) {
                v.tick(now);
            }
            recordLeader(v);
        }
        assertTrue(leaseHolders() <= 1, "at most one voter holds a lease");
        if (random.nextInt(4) == 0) {
            proposeSomewhere();
        }
        if (newcomer != null && random.nextInt(20) == 0) {
            sendJoinRequests();
        }
        if (schedule == MembershipSchedule.OVERLAPPING_CHANGES) {
            joinMissing();
            continueLeave();
        }
    }

    private boolean isRunning(SimulatedVoter v) {
        return v.isUp() && frozenUntil.getOrDefault(v.id(), 0L) <= now;
    }

    /** Each instance that the leader does not list as a voter asks all others to join. */
    private void joinMissing() {
        SimulatedVoter leader = leader();
        if (leader == null || random.nextInt(10) > 0) {
            return;
        }
        for (SimulatedVoter v : List.copyOf(voters.values())) {
            boolean listed = leader.isUp() && leader.replica().state().voters().contains(v.id());
            if (leader.isUp() && isRunning(v) && !listed && !v.id().equals(leaving)) {
                leader.handleJoinRequest(now, v.id());
            }
        }
    }

    /** Repeats the request to leave until it is decided; the instance then ends. */
    private void continueLeave() {
        SimulatedVoter v = leaving == null ? null : voters.get(leaving);
        if (v == null || !isRunning(v)) {
            return;
        }
        LeaveStatus status = v.leave(now);
        if (status.isDecided() || now > leaveDeadline) {
            v.crash();
            leaving = null;
        }
        if (status == LeaveStatus.REMOVED) {
            voters.remove(v.id());
        }
    }

    /** Returns the running leader, or null. */
    SimulatedVoter leader() {
        return voters.values().stream()
                .filter(v -> isRunning(v) && v.replica().holdsLease(now))
                .findFirst()
                .orElse(null);
    }

    /** Runs without random faults. */
    void runFaultFree(int millis) {
        faultFree = true;
        for (int i = 0; i < millis / STEP_MILLIS; i++) {
            step();
        }
    }

    /** Starts an empty instance that asks to join. */
    SimulatedVoter addInstance() {
        SimulatedVoter leader = leader();
        List<InstanceId> known =
                leader == null ? null : leader.replica().state().voters();
        if (known == null) {
            return null;
        }
        InstanceId id = new InstanceId("n" + replacements++);
        SimulatedVoter v = SimulatedVoter.blank(id, known, this, new Random(random.nextLong()));
        voters.put(id, v);
        v.start(now);
        return v;
    }

    /** Stops an instance for a time; it loses no state. */
    void freeze(SimulatedVoter v, int millis) {
        frozenUntil.put(v.id(), now + millis);
    }

    /** Ends an instance, which starts again without its data. */
    void restartWithoutDisk(SimulatedVoter v) {
        v.crash();
        v.loseDisk();
        v.recordDiskLoss(now);
        v.start(now);
    }

    /** Returns an entry that the leader has committed from now on, or -1 if there is none within a time. */
    long commitOne(int millis) {
        long before = committed.size();
        for (int i = 0; i < millis / STEP_MILLIS; i++) {
            SimulatedVoter leader = leader();
            if (leader != null) {
                leader.propose(now, ("c" + proposals++).getBytes(StandardCharsets.UTF_8));
            }
            step();
            if (committed.size() > before) {
                return committed.size();
            }
        }
        return -1;
    }

    List<SimulatedVoter> instances() {
        return List.copyOf(voters.values());
    }

    private long leaseHolders() {
        return voters.values().stream()
                .filter(v -> v.isUp() && v.replica().holdsLease(now))
                .count();
    }

    private void sendJoinRequests() {
        for (SimulatedVoter v : List.copyOf(voters.values())) {
            if (v.isUp()) {
                v.handleJoinRequest(now, newcomer);
            }
        }
        List<InstanceId> agreed = agreedVoters();
        if (agreed != null && agreed.contains(newcomer) && agreed.size() == voters.size()) {
            newcomer = null;
        }
    }

    /** Replaces an instance permanently by an empty one. */
    private void replaceInstance(SimulatedVoter lost) {
        List<InstanceId> agreed = agreedVoters();
        if (schedule != MembershipSchedule.REPLACEMENTS || newcomer != null || agreed == null || !mayLoseDisk(lost)) {
            return;
        }
        newcomer = new InstanceId("n" + replacements++);
        SimulatedVoter v = SimulatedVoter.blank(newcomer, agreed, this, new Random(random.nextLong()));
        voters.remove(lost.id());
        lost.crash();
        partitioned.clear();
        voters.put(newcomer, v);
        v.start(now);
    }

    /** Returns the voters that all instances agree on; null while they differ. */
    private List<InstanceId> agreedVoters() {
        List<InstanceId> out = null;
        for (SimulatedVoter v : voters.values()) {
            if (!v.isUp() || (out != null && !out.equals(v.replica().state().voters()))) {
                return null;
            }
            out = v.replica().state().voters();
        }
        return out;
    }

    private void deliver(InFlightMessage f) {
        SimulatedVoter to = voters.get(f.to);
        if (to != null && isRunning(to) && partitioned.contains(f.from) == partitioned.contains(f.to)) {
            to.receive(now, f.message);
            recordLeader(to);
        }
    }

    private void recordLeader(SimulatedVoter v) {
        if (v.isUp() && v.replica().state().role() == LogRole.LEADER) {
            InstanceId other = leaders.putIfAbsent(v.replica().state().term(), v.id());
            assertTrue(other == null || other.equals(v.id()), "a term has one leader");
        }
    }

    private void proposeSomewhere() {
        for (SimulatedVoter v : voters.values()) {
            if (isRunning(v) && v.propose(now, ("c" + proposals).getBytes(StandardCharsets.UTF_8))) {
                proposals++;
                return;
            }
        }
    }

    private void injectFault() {
        if (timing.coldStartProbeMillis() > 0 && random.nextInt(500) == 0) {
            crashAll();
            return;
        }
        if (schedule == MembershipSchedule.OVERLAPPING_CHANGES) {
            injectOverlappingFault();
            return;
        }
        int roll = random.nextInt(300);
        SimulatedVoter v = pick();
        if (roll == 0) {
            partitioned.clear();
            partitioned.add(v.id());
        } else if (roll == 1) {
            partitioned.clear();
        } else if (roll == 2 && v.isUp()) {
            v.crash();
        } else if (roll == 3 && mayLoseDisk(v)) {
            v.crash();
            v.loseDisk();
        } else if (roll == 4) {
            replaceInstance(v);
        } else if (roll < 13 && !v.isUp()) {
            v.start(now);
        }
    }

    /** As many instances may be frozen and as many disks lost as are tolerated, beside one planned change. */
    private void injectOverlappingFault() {
        int roll = random.nextInt(200);
        SimulatedVoter v = pick();
        long frozen =
                voters.values().stream().filter(o -> o.isUp() && !isRunning(o)).count();
        if (roll < 2 && frozen < toleratedDiskFailures()) {
            freeze(v, random.nextInt(MAX_FREEZE_MILLIS));
        } else if (roll < 4 && mayLoseOverlappingDisk(v)) {
            restartWithoutDisk(v);
        } else if (roll < 6 && voters.size() < initialSize + MAX_EXTRA_INSTANCES) {
            addInstance();
        } else if (roll < 8 && leaving == null && voters.size() > initialSize) {
            leaving = v.id();
            leaveDeadline = now + LEAVE_MILLIS;
        } else if (roll == 8) {
            v.crash();
        } else if (roll < 20 && !v.isUp()) {
            v.start(now);
        }
    }

    /** Returns whether few enough voters are without their disks; others may be frozen or joining. */
    private boolean mayLoseOverlappingDisk(SimulatedVoter candidate) {
        int recovering = 0;
        for (SimulatedVoter v : voters.values()) {
            boolean waits = now - v.diskLostAt() <= DISK_LOSS_INTERVAL_MILLIS;
            recovering += waits || v.diskLostAt() >= 0 && !v.folder().admitted() ? 1 : 0;
        }
        return recovering < toleratedDiskFailures() && candidate.folder().admitted();
    }

    /** Crashes all voters at once; some restart immediately, the others through {@link #injectFault()}. */
    private void crashAll() {
        voters.values().forEach(SimulatedVoter::crash);
        for (SimulatedVoter v : voters.values()) {
            if (random.nextInt(4) > 0) {
                v.start(now + random.nextInt(20));
            }
        }
    }

    /**
     * Returns whether a disk may be lost. Losing a second one before the first voter is admitted again may stop the
     * fleet, which is not a failure.
     */
    private boolean mayLoseDisk(SimulatedVoter candidate) {
        int intact = 0;
        for (SimulatedVoter v : voters.values()) {
            if (v != candidate && v.isUp() && v.replica().state().role() != LogRole.RECOVERING && v.applied() > 0) {
                intact++;
            }
        }
        return newcomer == null && intact == voters.size() - 1;
    }

    private SimulatedVoter pick() {
        return new ArrayList<>(voters.values()).get(random.nextInt(voters.size()));
    }

    /** Checks that without faults a leader is elected, every data folder is admitted, and all voters agree. */
    private void settle() {
        faultFree = true;
        partitioned.clear();
        frozenUntil.clear();
        if (leaving != null && voters.get(leaving).isUp()) {
            voters.get(leaving).crash();
        }
        leaving = null;
        for (SimulatedVoter v : voters.values()) {
            if (!v.isUp()) {
                v.start(now);
            }
        }
        for (int i = 0; i < SETTLE_STEPS && !isSettled(); i++) {
            step();
        }
        assertTrue(isSettled(), () -> "the voters converge: " + describe());
        long highest =
                committed.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        for (SimulatedVoter v : voters.values()) {
            assertTrue(v.applied() <= highest);
        }
        assertNull(committed.get(0L));
    }

    private String describe() {
        StringBuilder out = new StringBuilder();
        for (SimulatedVoter v : voters.values()) {
            out.append('\n').append(v.id()).append(' ').append(v.folder()).append(' ');
            out.append(v.replica().state()).append(" applied ").append(v.applied());
        }
        return out.toString();
    }

    private boolean isSettled() {
        int leading = 0;
        for (SimulatedVoter v : voters.values()) {
            ReplicaState s = v.replica().state();
            boolean admitted = v.folder().id().equals(s.admitted().get(v.id().value()));
            leading += s.role() == LogRole.LEADER ? 1 : 0;
            boolean agreed = s.voters().size() == voters.size() && s.voters().containsAll(voters.keySet());
            if (!agreed || !admitted || s.commit() + 5 < committed.size()) {
                return false;
            }
        }
        return leading == 1;
    }

    private record InFlightMessage(long at, InstanceId from, InstanceId to, LogMessage message) {}
}
