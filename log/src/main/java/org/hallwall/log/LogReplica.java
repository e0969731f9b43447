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
import org.hallwall.log.LogMessage.SnapshotRequest;
import org.hallwall.log.LogMessage.VoteReply;
import org.hallwall.log.LogMessage.VoteRequest;

/**
 * Decides for one voter: terms, votes, replication, commit, admission of data folders.
 *
 * <p>It does no I/O and reads no clock. Each call returns the actions to carry out in order. It is not safe for use by
 * several threads.
 */
public final class LogReplica {

    private static final int MOST_ENTRIES = 64;

    private final InstanceId self;
    private final LogTiming timing;
    private final RandomGenerator random;
    private final LogIndex log;
    private final LogAdmissions admissions;
    private final LogVoters voters;
    private final LogFollowers followers;
    private final LogSuccession succession;
    private final Set<InstanceId> votes = new HashSet<>();
    private List<LogAction> actions = new ArrayList<>();

    private LogRole role;
    private long term;
    private InstanceId votedFor;
    private InstanceId leader;
    private long commit;
    private long electionAt;
    private long heartbeatAt;
    private long lastSentAt = Long.MIN_VALUE;
    private long leaderHeardAt;
    private final LogStartProbe startProbe;

    /**
     * Restores a replica from what it has stored.
     *
     * @param seat the place of this voter among the voters
     * @param stored what the voter has stored
     * @param random the source of election timeouts
     * @param now the clock in milliseconds; no vote is given for one election timeout from now
     */
    public LogReplica(LogSeat seat, LogStored stored, RandomGenerator random, long now) {
        this.self = seat.self();
        this.timing = seat.timing();
        this.random = random;
        this.term = stored.vote().term();
        this.votedFor = stored.vote().votedFor();
        LogSnapshot snapshot = stored.snapshot();
        this.log = new LogIndex(snapshot.index(), snapshot.term(), stored.entries());
        this.commit = snapshot.index();
        this.admissions = new LogAdmissions(self, stored.folder(), log);
        this.admissions.restore(snapshot.admitted());
        this.voters = new LogVoters(self, seat.voters(), log);
        this.voters.restore(snapshot.voters());
        this.followers = new LogFollowers(voters);
        this.succession = new LogSuccession(seat.disksLost(), voters, followers, admissions);
        this.leaderHeardAt = now;
        this.startProbe = new LogStartProbe(now, timing.startProbeMillis(), random);
        this.role = restingRole();
        resetElection(now);
    }

    /**
     * Lets time pass.
     *
     * @param now the clock in milliseconds
     * @return the actions to carry out
     */
    public List<LogAction> tick(long now) {
        if (role == LogRole.LEADER) {
            if (now >= heartbeatAt) {
                sendToAll(now);
            }
            if (!followers.haveAnswered(now, 2 * timing.electionMillis())) {
                becomeFollower(now);
            } else {
                removeSurplus(now);
            }
        } else if (now >= electionAt) {
            startProbe.end();
            startElection(now, true);
        } else if (startProbe.isDue(now)) {
            askForVotes(term + 1, true, false);
        }
        return taken();
    }

    /**
     * Takes a message.
     *
     * @param now the clock in milliseconds
     * @param message the message
     * @return the actions to carry out
     */
    public List<LogAction> receive(long now, LogMessage message) {
        if (!message.from().equals(self)) {
            // A voter that missed changes of the voters takes what it is told by one that it does not know.
            dispatch(now, message);
        }
        return taken();
    }

    /**
     * Proposes a command; only a leader takes it.
     *
     * @param now the clock in milliseconds
     * @param command the command
     * @return the index it will have if it is committed in this term; empty if this voter does not lead
     */
    public OptionalLong propose(long now, byte[] command) {
        if (role != LogRole.LEADER) {
            return OptionalLong.empty();
        }
        long index = appendOwn(LogEntryKind.COMMAND, command);
        sendToAll(now);
        return OptionalLong.of(index);
    }

    /**
     * Takes the actions that a proposal has caused.
     *
     * @return the actions to carry out
     */
    public List<LogAction> taken() {
        List<LogAction> out = actions;
        actions = new ArrayList<>();
        return out;
    }

    /**
     * Makes a snapshot's metadata and drops the entries it covers.
     *
     * @param state the state machine's snapshot, taken when all entries up to the commit index were applied
     * @return the snapshot, to be stored before anything else is done
     */
    public LogSnapshot compact(byte[] state) {
        voters.compact(commit);
        LogSnapshot snapshot = new LogSnapshot(commit, log.termAt(commit), admissions.copy(), voters.at(commit), state);
        log.dropUpTo(commit);
        voters.refresh();
        return snapshot;
    }

    /**
     * Counts the committed entries that the snapshot does not cover.
     *
     * @return how many
     */
    public long committedSinceSnapshot() {
        return commit - log.baseIndex();
    }

    /**
     * Gives the entries after the snapshot.
     *
     * @return the entries in order
     */
    public List<LogEntry> entriesAfterSnapshot() {
        return log.after(log.baseIndex(), log.size());
    }

    /**
     * Says whether this voter leads and no other can have been elected.
     *
     * @param now the clock in milliseconds
     * @return true if a read of the applied state is up to date
     */
    public boolean holdsLease(long now) {
        return role == LogRole.LEADER
                && log.termAt(commit) == term
                && followers.haveAnswered(now, timing.leaseMillis());
    }

    /**
     * Sends heartbeats whose answers show that this voter still leads; answers to earlier ones do not.
     *
     * @param now the clock in milliseconds
     * @return when they were sent; empty if this voter does not lead, or sent others in this millisecond
     */
    public OptionalLong confirm(long now) {
        if (role != LogRole.LEADER || now <= lastSentAt) {
            return OptionalLong.empty();
        }
        sendToAll(now);
        return OptionalLong.of(now);
    }

    /**
     * Says whether a quorum has answered what was sent at a time or later. No clock takes part: times only tell messages apart.
     *
     * @param sentAt when it was sent, as {@link #confirm(long)} gave it
     * @return true if all that was accepted before it was sent is applied here
     */
    public boolean isConfirmed(long sentAt) {
        return role == LogRole.LEADER && log.termAt(commit) == term && followers.haveAnsweredSince(sentAt);
    }

    /**
     * Describes the replica.
     *
     * @return its state
     */
    public LogState state() {
        return new LogState(
                role, term, leader, commit, log.lastIndex(), log.baseIndex(), admissions.copy(), voters.all());
    }

    private void dispatch(long now, LogMessage message) {
        if (message instanceof VoteRequest m) {
            onVoteRequest(now, m);
        } else if (message instanceof VoteReply m) {
            onVoteReply(now, m);
        } else if (message instanceof AppendRequest m) {
            onAppend(now, m);
        } else if (message instanceof AppendReply m) {
            onAppendReply(now, m);
        } else if (message instanceof SnapshotRequest m) {
            onSnapshot(now, m);
        }
    }

    // --- elections

    private void startElection(long now, boolean preVote) {
        resetElection(now);
        if (!admissions.mayVote() || !voters.contains(self)) {
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
        askForVotes(preVote ? term + 1 : term, preVote, startProbe.hasAnsweredAll(Set.copyOf(voters.others())));
        if (!preVote) {
            startProbe.end();
        }
        countVotes(now);
    }

    private void askForVotes(long wanted, boolean preVote, boolean allJustStarted) {
        for (InstanceId v : voters.others()) {
            send(
                    v,
                    new VoteRequest(
                            wanted,
                            self,
                            log.lastIndex(),
                            log.lastTerm(),
                            preVote,
                            startProbe.startId(),
                            allJustStarted));
        }
    }

    private void onVoteRequest(long now, VoteRequest m) {
        boolean nobodyLeads = m.allJustStarted() && startProbe.isJustStarted();
        boolean leaderIsFresh = role == LogRole.LEADER || !nobodyLeads && now - leaderHeardAt < timing.electionMillis();
        if (!m.preVote() && m.term() > term && !leaderIsFresh) {
            adoptTerm(now, m.term());
        }
        boolean granted = !leaderIsFresh && admissions.mayVote() && upToDate(m) && mayGrant(m);
        if (granted && !m.preVote()) {
            startProbe.end();
            saveVote(term, m.from());
            resetElection(now);
        }
        long answered = granted && m.preVote() ? m.term() : term;
        send(
                m.from(),
                new VoteReply(
                        answered,
                        self,
                        admissions.folder(),
                        granted,
                        m.preVote(),
                        startProbe.isJustStarted() ? m.startId() : 0));
    }

    private boolean mayGrant(VoteRequest m) {
        if (m.preVote()) {
            return m.term() > term;
        }
        return m.term() == term && (votedFor == null || votedFor.equals(m.from()));
    }

    private boolean upToDate(VoteRequest m) {
        if (m.lastTerm() != log.lastTerm()) {
            return m.lastTerm() > log.lastTerm();
        }
        return m.lastIndex() >= log.lastIndex();
    }

    private void onVoteReply(long now, VoteReply m) {
        startProbe.answered(m.from(), m.startId());
        if (!m.granted()) {
            if (m.term() > term) {
                adoptTerm(now, m.term());
            }
            if (role != LogRole.CANDIDATE && startProbe.hasAnsweredAll(Set.copyOf(voters.others()))) {
                startElection(now, false);
            }
            return;
        }
        boolean probing = role == LogRole.PRE_CANDIDATE && m.preVote() && m.term() == term + 1;
        boolean standing = role == LogRole.CANDIDATE && !m.preVote() && m.term() == term;
        if ((probing || standing) && voters.contains(m.from()) && admissions.counts(m.from(), m.folder())) {
            votes.add(m.from());
            countVotes(now);
        }
    }

    private void countVotes(long now) {
        if (votes.size() < voters.quorum()) {
            return;
        }
        if (role == LogRole.PRE_CANDIDATE) {
            startElection(now, false);
        } else if (role == LogRole.CANDIDATE) {
            becomeLeader(now);
        }
    }

    private void becomeLeader(long now) {
        startProbe.end();
        role = LogRole.LEADER;
        leader = self;
        voters.refresh();
        followers.reset(log.lastIndex(), now);
        appendOwn(LogEntryKind.START, new byte[0]);
        if (!admissions.isCommitted(self, admissions.folder())) {
            appendOwn(
                    LogEntryKind.ADMIT,
                    new LogAdmission(self, admissions.folder().id()).payload());
        }
        sendToAll(now);
    }

    private void becomeFollower(long now) {
        role = restingRole();
        leader = null;
        votes.clear();
        resetElection(now);
    }

    private void adoptTerm(long now, long newTerm) {
        saveVote(newTerm, null);
        becomeFollower(now);
    }

    // --- replication, as a follower

    private void onAppend(long now, AppendRequest m) {
        if (!follow(now, m)) {
            send(m.from(), new AppendReply(term, self, admissions.folder(), false, log.lastIndex(), m.sentAt()));
            return;
        }
        long prev = m.prevIndex();
        if (prev < log.baseIndex()) {
            // The snapshot covers the previous index, and what it covers is committed.
            reply(m.from(), true, log.baseIndex(), m.sentAt());
        } else if (prev > log.lastIndex()) {
            reply(m.from(), false, log.lastIndex(), m.sentAt());
        } else if (log.termAt(prev) != m.prevTerm()) {
            reply(m.from(), false, Math.max(log.baseIndex(), prev - 1), m.sentAt());
        } else {
            takeEntries(m.entries());
            long matched = prev + m.entries().size();
            advanceCommit(Math.min(m.commit(), matched));
            reply(m.from(), true, matched, m.sentAt());
        }
    }

    private boolean follow(long now, LogMessage m) {
        if (m.term() < term) {
            return false;
        }
        if (m.term() > term || votedFor == null) {
            // Voting for the leader of the term is harmless and keeps an admitted folder from voting twice.
            saveVote(m.term(), m.from());
        }
        role = restingRole();
        leader = m.from();
        leaderHeardAt = now;
        startProbe.end();
        votes.clear();
        resetElection(now);
        return true;
    }

    private void takeEntries(List<LogEntry> entries) {
        List<LogEntry> fresh = new ArrayList<>();
        for (LogEntry e : entries) {
            if (fresh.isEmpty() && log.holds(e.index()) && log.termAt(e.index()) == e.term()) {
                continue;
            }
            if (fresh.isEmpty() && e.index() <= log.lastIndex()) {
                cutFrom(e.index());
            }
            log.append(e);
            fresh.add(e);
        }
        voters.refresh();
        if (!fresh.isEmpty()) {
            actions.add(new LogAction.SaveEntries(fresh));
        }
    }

    private void cutFrom(long index) {
        if (index <= commit) {
            throw new IllegalStateException("a committed entry would be cut at " + index);
        }
        log.cutFrom(index);
    }

    private void onSnapshot(long now, SnapshotRequest m) {
        if (!follow(now, m)) {
            send(m.from(), new AppendReply(term, self, admissions.folder(), false, log.lastIndex(), m.sentAt()));
            return;
        }
        LogSnapshot s = m.snapshot();
        if (s.index() > commit) {
            restore(s);
        }
        reply(m.from(), true, Math.max(s.index(), log.baseIndex()), m.sentAt());
    }

    private void restore(LogSnapshot s) {
        List<LogEntry> kept = List.of();
        if (log.holds(s.index()) && log.termAt(s.index()) == s.term()) {
            kept = log.after(s.index(), log.size());
        }
        log.reset(s.index(), s.term(), kept);
        commit = s.index();
        admissions.restore(s.admitted());
        voters.restore(s.voters());
        actions.add(new LogAction.Restore(s, kept));
        noteOwnAdmission();
    }

    private void reply(InstanceId to, boolean accepted, long index, long sentAt) {
        send(to, new AppendReply(term, self, admissions.folder(), accepted, index, sentAt));
    }

    // --- replication, as a leader

    private void onAppendReply(long now, AppendReply m) {
        if (m.term() > term) {
            adoptTerm(now, m.term());
            return;
        }
        if (role != LogRole.LEADER || m.term() < term) {
            return;
        }
        LogFollower f = followers.get(m.from());
        if (f == null) {
            return;
        }
        f.heard(m.folder(), m.sentAt());
        if (m.accepted()) {
            f.accepted(m.index());
            admitIfReady(m.from(), f);
            commitByQuorum(now);
            if (f.next() <= log.lastIndex()) {
                sendTo(now, m.from(), f);
            }
        } else {
            f.rejected(m.index());
            sendTo(now, m.from(), f);
        }
    }

    private void admitIfReady(InstanceId voter, LogFollower f) {
        boolean known = admissions.isCommitted(voter, f.folder());
        if (!known && !f.admissionPending() && f.match() >= commit) {
            LogAdmission admission = new LogAdmission(voter, f.folder().id());
            f.admissionAt(appendOwn(LogEntryKind.ADMIT, admission.payload()));
        }
    }

    private void commitByQuorum(long now) {
        long agreed = followers.agreedIndex(log.lastIndex(), admissions);
        if (agreed > commit && log.termAt(agreed) == term) {
            advanceCommit(agreed);
            sendToAll(now);
        }
    }

    private long appendOwn(LogEntryKind kind, byte[] payload) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, payload);
        log.append(entry);
        actions.add(new LogAction.SaveEntries(List.of(entry)));
        if (voters.others().isEmpty()) {
            advanceCommit(entry.index());
        }
        return entry.index();
    }

    // --- changes of the voters

    /**
     * Considers a newcomer as a voter. It learns the log first and does not count until its data folder is admitted, so that a
     * quorum is never harder to reach through it. A voter that has been silent for long makes room in a change of its own.
     *
     * @param now the clock in milliseconds
     * @param newcomer the newcomer
     */
    public void consider(long now, InstanceId newcomer) {
        if (!mayChangeVoters() || voters.contains(newcomer)) {
            return;
        }
        if (!newcomer.equals(followers.learner())) {
            if (!followers.isLearning(now)) {
                followers.learn(newcomer, log.lastIndex(), now);
                sendToAll(now);
            }
            return;
        }
        List<InstanceId> named = succession.replacing(now, newcomer, commit);
        if (named != null) {
            nameVoters(now, named);
        }
    }

    private void removeSurplus(long now) {
        List<InstanceId> named = mayChangeVoters() ? succession.withoutSurplus(now) : null;
        if (named != null) {
            nameVoters(now, named);
        }
    }

    /** One change at a time, and only by a leader that has committed an entry of its own term. */
    private boolean mayChangeVoters() {
        return role == LogRole.LEADER && log.termAt(commit) == term && voters.namedAt() <= commit;
    }

    private void nameVoters(long now, List<InstanceId> named) {
        appendOwn(LogEntryKind.VOTERS, LogVoters.payload(named));
        voters.refresh();
        followers.refresh(log.lastIndex(), now);
        sendToAll(now);
    }

    private void sendToAll(long now) {
        heartbeatAt = now + timing.heartbeatMillis();
        followers.all().forEach((v, f) -> sendTo(now, v, f));
    }

    private void sendTo(long now, InstanceId to, LogFollower f) {
        lastSentAt = now;
        long prev = f.next() - 1;
        if (prev < log.baseIndex()) {
            if (f.maySendSnapshot(now, timing.electionMillis())) {
                actions.add(new LogAction.SendSnapshot(to, term, now));
            }
            return;
        }
        prev = Math.min(prev, log.lastIndex());
        List<LogEntry> entries = log.after(prev, MOST_ENTRIES);
        send(to, new AppendRequest(term, self, prev, log.termAt(prev), entries, commit, now));
        f.sentUpTo(prev + entries.size());
    }

    // --- shared

    private void advanceCommit(long to) {
        while (commit < to) {
            commit++;
            LogEntry entry = log.get(commit);
            if (entry.kind() == LogEntryKind.ADMIT) {
                takeAdmission(entry);
            }
            actions.add(new LogAction.Apply(entry));
        }
    }

    private void takeAdmission(LogEntry entry) {
        admissions.commit(LogAdmission.of(entry));
        noteOwnAdmission();
    }

    private void noteOwnAdmission() {
        if (admissions.noteOwn()) {
            actions.add(new LogAction.SaveFolder(admissions.folder()));
        }
        if (role == LogRole.FOLLOWER || role == LogRole.RECOVERING) {
            role = restingRole();
        }
    }

    private LogRole restingRole() {
        return admissions.mayVote() ? LogRole.FOLLOWER : LogRole.RECOVERING;
    }

    private void saveVote(long newTerm, InstanceId candidate) {
        term = newTerm;
        votedFor = candidate;
        actions.add(new LogAction.SaveVote(new LogVote(newTerm, candidate)));
    }

    private void send(InstanceId to, LogMessage message) {
        actions.add(new LogAction.Send(to, message));
    }

    private void resetElection(long now) {
        electionAt = now + timing.electionMillis() + random.nextLong(timing.electionMillis());
    }
}
