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
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.hallwall.core.id.InstanceId;
import org.hallwall.log.LogMessage.AppendReply;
import org.hallwall.log.LogMessage.AppendRequest;
import org.hallwall.log.LogMessage.LeaveReply;
import org.hallwall.log.LogMessage.LeaveRequest;
import org.hallwall.log.LogMessage.SnapshotRequest;
import org.hallwall.log.LogMessage.TransferRequest;
import org.hallwall.log.LogMessage.VoteReply;
import org.hallwall.log.LogMessage.VoteRequest;

/**
 * The Raft state machine of one voter: elections, replication, commit, and admission of data folders.
 *
 * <p>It does no I/O and reads no clock. Each call returns the actions to carry out in order. Not thread-safe.
 */
public final class LogReplica {

    private static final int MAX_BATCH_ENTRIES = 64;

    private final InstanceId self;
    private final LogTiming timing;
    private final RandomGenerator random;
    private final InMemoryLog log;
    private final LogAdmissions admissions;
    private final VoterSet voters;
    private final FollowerTracker followers;
    private final MembershipPolicy membershipPolicy;
    private final Set<InstanceId> votes = new HashSet<>();
    private List<LogAction> actions = new ArrayList<>();

    private LogRole role;
    private long term;
    private InstanceId votedFor;
    private InstanceId leader;
    private long commitIndex;
    private long electionDeadline;
    private long nextHeartbeatAt;
    private long lastSentAt = Long.MIN_VALUE;
    private long lastLeaderContactAt;
    private LeaveStatus leaveStatus = LeaveStatus.NOT_REQUESTED;
    private final ColdStartDetector coldStartDetector;

    /**
     * Restores a replica from its persistent state.
     *
     * @param config the configuration of this voter
     * @param recovered the state recovered from disk
     * @param random the source of randomized election timeouts
     * @param now the clock in milliseconds; no vote is granted for one election timeout from now
     */
    public LogReplica(LogVoterConfig config, RecoveredState recovered, RandomGenerator random, long now) {
        this.self = config.self();
        this.timing = config.timing();
        this.random = random;
        this.term = recovered.vote().term();
        this.votedFor = recovered.vote().votedFor();
        LogSnapshot snapshot = recovered.snapshot();
        this.log = new InMemoryLog(snapshot.index(), snapshot.term(), recovered.entries());
        this.commitIndex = snapshot.index();
        this.admissions = new LogAdmissions(self, recovered.folder(), log);
        this.admissions.restore(snapshot.admitted());
        this.voters = new VoterSet(self, config.voters(), log);
        this.voters.restore(snapshot.voters());
        this.followers = new FollowerTracker(voters);
        this.membershipPolicy = new MembershipPolicy(config.toleratedDiskFailures(), voters, followers, admissions);
        this.lastLeaderContactAt = now;
        this.coldStartDetector = new ColdStartDetector(now, timing.coldStartProbeMillis(), random);
        this.role = passiveRole();
        resetElectionDeadline(now);
    }

    /**
     * Advances the clock: sends heartbeats, and starts elections and start probes that are due.
     *
     * @param now the clock in milliseconds
     * @return the actions to carry out
     */
    public List<LogAction> tick(long now) {
        if (role == LogRole.LEADER) {
            if (now >= nextHeartbeatAt) {
                broadcastAppend(now);
            }
            if (!followers.hasQuorumContact(now, 2 * timing.electionTimeoutMillis())) {
                becomeFollower(now);
            } else {
                removeSurplusVoter(now);
            }
        } else if (now >= electionDeadline) {
            coldStartDetector.stop();
            startElection(now, true, false);
        } else if (coldStartDetector.isProbeDue(now)) {
            sendVoteRequests(term + 1, true, false, false);
        }
        return drainActions();
    }

    /**
     * Handles a message from another voter.
     *
     * @param now the clock in milliseconds
     * @param message the message
     * @return the actions to carry out
     */
    public List<LogAction> receive(long now, LogMessage message) {
        if (!message.from().equals(self)) {
            // Senders outside the known voter set are accepted too: this voter may have missed a membership change.
            dispatch(now, message);
        }
        return drainActions();
    }

    /**
     * Appends a command if this voter is the leader.
     *
     * @param now the clock in milliseconds
     * @param command the command
     * @return the index of its entry if it is committed in this term; empty if this voter is not the leader
     */
    public OptionalLong propose(long now, byte[] command) {
        if (role != LogRole.LEADER) {
            return OptionalLong.empty();
        }
        long index = appendAsLeader(LogEntryKind.COMMAND, command);
        broadcastAppend(now);
        return OptionalLong.of(index);
    }

    /**
     * Returns and clears the pending actions.
     *
     * @return the actions to carry out
     */
    public List<LogAction> drainActions() {
        List<LogAction> out = actions;
        actions = new ArrayList<>();
        return out;
    }

    /**
     * Creates a snapshot at the commit index and discards the entries it covers.
     *
     * @param state the state machine's snapshot, taken after applying all entries up to the commit index
     * @return the snapshot, which must be stored before any later action
     */
    public LogSnapshot compact(byte[] state) {
        voters.compact(commitIndex);
        LogSnapshot snapshot = new LogSnapshot(
                commitIndex, log.termAt(commitIndex), admissions.copy(), voters.votersAt(commitIndex), state);
        log.discardUpTo(commitIndex);
        voters.refresh();
        return snapshot;
    }

    /**
     * Returns the number of committed entries that the snapshot does not cover.
     *
     * @return the number of entries
     */
    public long committedSinceSnapshot() {
        return commitIndex - log.baseIndex();
    }

    /**
     * Returns the bytes of the committed entries that the snapshot does not cover.
     *
     * @return the number of bytes
     */
    public long committedBytesSinceSnapshot() {
        return log.bytes() - uncommittedBytes();
    }

    /**
     * Returns the bytes of the entries that are not known to be committed.
     *
     * @return the number of bytes
     */
    public long uncommittedBytes() {
        return log.bytesAfter(commitIndex);
    }

    /**
     * Returns the entries after the snapshot.
     *
     * @return the entries in order
     */
    public List<LogEntry> entriesAfterSnapshot() {
        return log.entriesAfter(log.baseIndex(), log.size());
    }

    /**
     * Returns whether this voter is the leader and holds a valid lease.
     *
     * @param now the clock in milliseconds
     * @return true if a read of the applied state is up to date
     */
    public boolean holdsLease(long now) {
        return role == LogRole.LEADER
                && log.termAt(commitIndex) == term
                && followers.hasQuorumContact(now, timing.leaseMillis());
    }

    /**
     * Sends a round of heartbeats that confirms leadership; replies to earlier messages do not count towards it.
     *
     * @param now the clock in milliseconds
     * @return the send time that identifies the round; empty if this voter is not the leader, or has already sent
     *     messages in this millisecond
     */
    public OptionalLong startConfirmationRound(long now) {
        if (role != LogRole.LEADER || now <= lastSentAt) {
            return OptionalLong.empty();
        }
        broadcastAppend(now);
        return OptionalLong.of(now);
    }

    /**
     * Returns whether a quorum has replied to messages sent at or after a time. Send times only identify messages, so
     * this holds without a trusted clock.
     *
     * @param sentAt the send time returned by {@link #startConfirmationRound(long)}
     * @return true if everything accepted before that time is applied here
     */
    public boolean isRoundConfirmed(long sentAt) {
        return role == LogRole.LEADER && log.termAt(commitIndex) == term && followers.hasQuorumAckSince(sentAt);
    }

    /**
     * Returns the state of the replica.
     *
     * @return its state
     */
    public ReplicaState state() {
        return new ReplicaState(
                role, term, leader, commitIndex, log.lastIndex(), log.baseIndex(), admissions.copy(), voters.all());
    }

    private void dispatch(long now, LogMessage message) {
        if (message instanceof VoteRequest m) {
            handleVoteRequest(now, m);
        } else if (message instanceof VoteReply m) {
            handleVoteReply(now, m);
        } else if (message instanceof AppendRequest m) {
            handleAppendRequest(now, m);
        } else if (message instanceof AppendReply m) {
            handleAppendReply(now, m);
        } else if (message instanceof SnapshotRequest m) {
            handleSnapshotRequest(now, m);
        } else if (message instanceof LeaveRequest m) {
            handleLeaveRequest(now, m.from());
        } else if (message instanceof LeaveReply m) {
            handleLeaveReply(m);
        } else if (message instanceof TransferRequest m) {
            handleTransferRequest(now, m);
        }
    }

    // --- elections

    private void startElection(long now, boolean preVote, boolean transfer) {
        resetElectionDeadline(now);
        if (!admissions.canVote() || !voters.contains(self) || leaveStatus != LeaveStatus.NOT_REQUESTED) {
            return;
        }
        leader = null;
        votes.clear();
        votes.add(self);
        if (preVote) {
            role = LogRole.PRE_CANDIDATE;
        } else {
            role = LogRole.CANDIDATE;
            saveVote(term + 1, self);
        }
        sendVoteRequests(
                preVote ? term + 1 : term,
                preVote,
                coldStartDetector.haveAllJustStarted(Set.copyOf(voters.others())),
                transfer);
        if (!preVote) {
            coldStartDetector.stop();
        }
        countVotes(now);
    }

    private void sendVoteRequests(long proposedTerm, boolean preVote, boolean allJustStarted, boolean transfer) {
        for (InstanceId v : voters.others()) {
            send(
                    v,
                    new VoteRequest(
                            proposedTerm,
                            self,
                            log.lastIndex(),
                            log.lastTerm(),
                            preVote,
                            coldStartDetector.startId(),
                            allJustStarted,
                            transfer));
        }
    }

    private void handleVoteRequest(long now, VoteRequest m) {
        boolean noLeaderPossible = m.allJustStarted() && coldStartDetector.isJustStarted();
        boolean hasSteppedDown = m.transfer() && m.term() == term + 1;
        boolean leaderIsRecent = role == LogRole.LEADER
                || !noLeaderPossible && !hasSteppedDown && now - lastLeaderContactAt < timing.electionTimeoutMillis();
        if (!m.preVote() && m.term() > term && !leaderIsRecent) {
            adoptTerm(now, m.term());
        }
        boolean mayVote = admissions.canVote() && leaveStatus != LeaveStatus.REMOVED;
        boolean granted = !leaderIsRecent && mayVote && isLogUpToDate(m) && canGrantVote(m);
        if (granted && !m.preVote()) {
            coldStartDetector.stop();
            saveVote(term, m.from());
            resetElectionDeadline(now);
        }
        long replyTerm = granted && m.preVote() ? m.term() : term;
        send(
                m.from(),
                new VoteReply(
                        replyTerm,
                        self,
                        admissions.folder(),
                        granted,
                        m.preVote(),
                        coldStartDetector.isJustStarted() ? m.startId() : 0));
    }

    private boolean canGrantVote(VoteRequest m) {
        if (m.preVote()) {
            return m.term() > term;
        }
        return m.term() == term && (votedFor == null || votedFor.equals(m.from()));
    }

    private boolean isLogUpToDate(VoteRequest m) {
        if (m.lastTerm() != log.lastTerm()) {
            return m.lastTerm() > log.lastTerm();
        }
        return m.lastIndex() >= log.lastIndex();
    }

    private void handleVoteReply(long now, VoteReply m) {
        coldStartDetector.recordAnswer(m.from(), m.startId());
        if (!m.granted()) {
            if (m.term() > term) {
                adoptTerm(now, m.term());
            }
            if (role != LogRole.CANDIDATE && coldStartDetector.haveAllJustStarted(Set.copyOf(voters.others()))) {
                startElection(now, false, false);
            }
            return;
        }
        boolean countsAsPreVote = role == LogRole.PRE_CANDIDATE && m.preVote() && m.term() == term + 1;
        boolean countsAsVote = role == LogRole.CANDIDATE && !m.preVote() && m.term() == term;
        if ((countsAsPreVote || countsAsVote)
                && voters.contains(m.from())
                && admissions.countsTowardQuorum(m.from(), m.folder())) {
            votes.add(m.from());
            countVotes(now);
        }
    }

    private void countVotes(long now) {
        if (votes.size() < voters.quorum()) {
            return;
        }
        if (role == LogRole.PRE_CANDIDATE) {
            startElection(now, false, false);
        } else if (role == LogRole.CANDIDATE) {
            becomeLeader(now);
        }
    }

    private void becomeLeader(long now) {
        coldStartDetector.stop();
        role = LogRole.LEADER;
        leader = self;
        voters.refresh();
        followers.reset(log.lastIndex(), now);
        appendAsLeader(LogEntryKind.START, new byte[0]);
        if (!admissions.isCommitted(self, admissions.folder())) {
            appendAsLeader(
                    LogEntryKind.ADMIT,
                    new LogAdmission(self, admissions.folder().id()).encode());
        }
        broadcastAppend(now);
    }

    private void becomeFollower(long now) {
        role = passiveRole();
        leader = null;
        votes.clear();
        resetElectionDeadline(now);
    }

    private void adoptTerm(long now, long newTerm) {
        saveVote(newTerm, null);
        becomeFollower(now);
    }

    // --- replication: follower

    private void handleAppendRequest(long now, AppendRequest m) {
        if (!acceptLeader(now, m)) {
            send(m.from(), new AppendReply(term, self, admissions.folder(), false, log.lastIndex(), m.sentAt()));
            return;
        }
        long prev = m.prevIndex();
        if (prev < log.baseIndex()) {
            // The snapshot covers the previous index, and covered entries are committed.
            sendAppendReply(m.from(), true, log.baseIndex(), m.sentAt());
        } else if (prev > log.lastIndex()) {
            sendAppendReply(m.from(), false, log.lastIndex(), m.sentAt());
        } else if (log.termAt(prev) != m.prevTerm()) {
            sendAppendReply(m.from(), false, Math.max(log.baseIndex(), prev - 1), m.sentAt());
        } else {
            appendEntries(m.entries());
            long matchIndex = prev + m.entries().size();
            advanceCommit(Math.min(m.commit(), matchIndex));
            sendAppendReply(m.from(), true, matchIndex, m.sentAt());
        }
    }

    private boolean acceptLeader(long now, LogMessage m) {
        if (m.term() < term) {
            return false;
        }
        if (m.term() > term || votedFor == null) {
            // Recording a vote for the leader is safe and prevents an admitted folder from voting twice in this term.
            saveVote(m.term(), m.from());
        }
        role = passiveRole();
        leader = m.from();
        lastLeaderContactAt = now;
        coldStartDetector.stop();
        votes.clear();
        resetElectionDeadline(now);
        return true;
    }

    private void appendEntries(List<LogEntry> entries) {
        List<LogEntry> appended = new ArrayList<>();
        for (LogEntry e : entries) {
            if (appended.isEmpty() && log.hasTermAt(e.index()) && log.termAt(e.index()) == e.term()) {
                continue;
            }
            if (appended.isEmpty() && e.index() <= log.lastIndex()) {
                truncateFrom(e.index());
            }
            log.append(e);
            appended.add(e);
        }
        voters.refresh();
        if (!appended.isEmpty()) {
            actions.add(new LogAction.SaveEntries(appended));
        }
    }

    private void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw new IllegalStateException("cannot truncate committed entry at index " + index);
        }
        log.truncateFrom(index);
    }

    private void handleSnapshotRequest(long now, SnapshotRequest m) {
        if (!acceptLeader(now, m)) {
            send(m.from(), new AppendReply(term, self, admissions.folder(), false, log.lastIndex(), m.sentAt()));
            return;
        }
        LogSnapshot s = m.snapshot();
        if (s.index() > commitIndex) {
            installSnapshot(s);
        }
        sendAppendReply(m.from(), true, Math.max(s.index(), log.baseIndex()), m.sentAt());
    }

    private void installSnapshot(LogSnapshot s) {
        List<LogEntry> retained = List.of();
        if (log.hasTermAt(s.index()) && log.termAt(s.index()) == s.term()) {
            retained = log.entriesAfter(s.index(), log.size());
        }
        log.reset(s.index(), s.term(), retained);
        commitIndex = s.index();
        admissions.restore(s.admitted());
        voters.restore(s.voters());
        actions.add(new LogAction.InstallSnapshot(s, retained));
        updateOwnAdmission();
    }

    private void sendAppendReply(InstanceId to, boolean accepted, long index, long sentAt) {
        send(to, new AppendReply(term, self, admissions.folder(), accepted, index, sentAt));
    }

    // --- replication: leader

    private void handleAppendReply(long now, AppendReply m) {
        if (m.term() > term) {
            adoptTerm(now, m.term());
            return;
        }
        if (role != LogRole.LEADER || m.term() < term) {
            return;
        }
        FollowerProgress f = followers.get(m.from());
        if (f == null) {
            return;
        }
        f.recordReply(m.folder(), m.sentAt());
        if (m.accepted()) {
            f.onAccepted(m.index());
            admitIfCaughtUp(m.from(), f);
            advanceCommitByQuorum(now);
            if (f.nextIndex() <= log.lastIndex()) {
                sendAppend(now, m.from(), f);
            }
        } else {
            f.onRejected(m.index());
            sendAppend(now, m.from(), f);
        }
    }

    private void admitIfCaughtUp(InstanceId voter, FollowerProgress f) {
        boolean admitted = admissions.isCommitted(voter, f.folder());
        if (!admitted && !f.hasPendingAdmission() && f.matchIndex() >= commitIndex) {
            LogAdmission admission = new LogAdmission(voter, f.folder().id());
            f.setAdmissionIndex(appendAsLeader(LogEntryKind.ADMIT, admission.encode()));
        }
    }

    private void advanceCommitByQuorum(long now) {
        long quorumIndex = followers.quorumMatchIndex(log.lastIndex(), admissions);
        if (quorumIndex > commitIndex && log.termAt(quorumIndex) == term) {
            advanceCommit(quorumIndex);
            broadcastAppend(now);
        }
    }

    private long appendAsLeader(LogEntryKind kind, byte[] payload) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, payload);
        log.append(entry);
        actions.add(new LogAction.SaveEntries(List.of(entry)));
        if (voters.others().isEmpty()) {
            advanceCommit(entry.index());
        }
        return entry.index();
    }

    // --- membership changes

    /**
     * Handles a request to join the voters. The newcomer first replicates the log as a learner and does not count
     * towards a quorum until its data folder is admitted. An unresponsive voter is removed in a separate change.
     *
     * @param now the clock in milliseconds
     * @param newcomer the instance that requests to join
     */
    public void handleJoinRequest(long now, InstanceId newcomer) {
        if (!canChangeVoters() || voters.contains(newcomer)) {
            return;
        }
        if (!newcomer.equals(followers.learner())) {
            if (!followers.hasActiveLearner(now)) {
                followers.startLearner(newcomer, log.lastIndex(), now);
                broadcastAppend(now);
            }
            return;
        }
        List<InstanceId> newVoters = membershipPolicy.nextVoters(now, newcomer, commitIndex);
        if (newVoters != null) {
            changeVoters(now, newVoters);
        }
    }

    private void removeSurplusVoter(long now) {
        List<InstanceId> newVoters = canChangeVoters() ? membershipPolicy.votersWithoutSurplus(now) : null;
        if (newVoters != null) {
            changeVoters(now, newVoters);
        }
    }

    /**
     * Asks to leave the voters, and hands leadership over first. Must be repeated until the status is decided. From now
     * on this voter starts no election; it votes until its removal is committed.
     *
     * @param now the clock in milliseconds
     * @return the status of the request
     */
    public LeaveStatus leave(long now) {
        if (leaveStatus.isDecided()) {
            return leaveStatus;
        }
        leaveStatus = voters.others().isEmpty() ? LeaveStatus.KEPT : LeaveStatus.REQUESTED;
        if (role == LogRole.LEADER) {
            transferLeadership(now);
        } else if (leader != null) {
            send(leader, new LeaveRequest(term, self));
        }
        return leaveStatus;
    }

    private void transferLeadership(long now) {
        InstanceId successor = membershipPolicy.successor(now, commitIndex);
        if (successor != null) {
            // The lease ends before the request is sent: voters trust the successor that there is none.
            becomeFollower(now);
            send(successor, new TransferRequest(term, self));
        }
    }

    private void handleTransferRequest(long now, TransferRequest m) {
        if (m.term() == term && role == LogRole.FOLLOWER && m.from().equals(leader)) {
            startElection(now, false, true);
        }
    }

    private void handleLeaveRequest(long now, InstanceId leaving) {
        if (!canChangeVoters()) {
            return;
        }
        if (!voters.contains(leaving)) {
            send(leaving, new LeaveReply(term, self, LeaveStatus.REMOVED));
        } else if (!membershipPolicy.exceedsTargetSize()) {
            send(leaving, new LeaveReply(term, self, LeaveStatus.KEPT));
        } else {
            List<InstanceId> remaining = membershipPolicy.votersAfterLeave(now, leaving, commitIndex);
            if (remaining != null) {
                changeVoters(now, remaining);
            }
        }
    }

    private void handleLeaveReply(LeaveReply m) {
        if (leaveStatus == LeaveStatus.REQUESTED && m.term() >= term) {
            leaveStatus = m.status();
        }
    }

    /** Allows one change at a time, and only for a leader that has committed an entry of its own term. */
    private boolean canChangeVoters() {
        return role == LogRole.LEADER && log.termAt(commitIndex) == term && voters.lastChangeIndex() <= commitIndex;
    }

    private void changeVoters(long now, List<InstanceId> newVoters) {
        appendAsLeader(LogEntryKind.VOTERS, VoterSet.encode(newVoters));
        voters.refresh();
        followers.refresh(log.lastIndex(), now);
        broadcastAppend(now);
    }

    private void broadcastAppend(long now) {
        nextHeartbeatAt = now + timing.heartbeatIntervalMillis();
        followers.all().forEach((v, f) -> sendAppend(now, v, f));
    }

    private void sendAppend(long now, InstanceId to, FollowerProgress f) {
        lastSentAt = now;
        long prev = f.nextIndex() - 1;
        if (prev < log.baseIndex()) {
            if (f.tryStartSnapshot(now, timing.electionTimeoutMillis())) {
                actions.add(new LogAction.SendSnapshot(to, term, now));
            }
            return;
        }
        prev = Math.min(prev, log.lastIndex());
        List<LogEntry> entries = log.batchAfter(prev, MAX_BATCH_ENTRIES, LogLimits.MAX_BATCH_BYTES);
        send(to, new AppendRequest(term, self, prev, log.termAt(prev), entries, commitIndex, now));
        f.markSentUpTo(prev + entries.size());
    }

    // --- shared

    private void advanceCommit(long to) {
        while (commitIndex < to) {
            commitIndex++;
            LogEntry entry = log.get(commitIndex);
            if (entry.kind() == LogEntryKind.ADMIT) {
                applyAdmission(entry);
            }
            actions.add(new LogAction.Apply(entry));
        }
    }

    private void applyAdmission(LogEntry entry) {
        admissions.recordCommitted(LogAdmission.decode(entry));
        updateOwnAdmission();
    }

    private void updateOwnAdmission() {
        if (admissions.markOwnAdmitted()) {
            actions.add(new LogAction.SaveFolder(admissions.folder()));
        }
        if (role == LogRole.FOLLOWER || role == LogRole.RECOVERING) {
            role = passiveRole();
        }
    }

    private LogRole passiveRole() {
        return admissions.canVote() ? LogRole.FOLLOWER : LogRole.RECOVERING;
    }

    private void saveVote(long newTerm, InstanceId candidate) {
        term = newTerm;
        votedFor = candidate;
        actions.add(new LogAction.SaveVote(new LogVote(newTerm, candidate)));
    }

    private void send(InstanceId to, LogMessage message) {
        actions.add(new LogAction.Send(to, message));
    }

    private void resetElectionDeadline(long now) {
        electionDeadline = now + timing.electionTimeoutMillis() + random.nextLong(timing.electionTimeoutMillis());
    }
}
