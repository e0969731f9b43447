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
package org.hallwall.domain;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.hallwall.core.id.InstanceId;
import org.hallwall.domain.LeaseMessage.Candidate;

/**
 * Decides about the controller's lease, as one of the processes that grant it.
 *
 * <p>A lease is held while a majority of the processes has granted it. Nothing is stored: a process that has started
 * grants nothing for one full lease, so that it cannot contradict a grant that it has forgotten. Reads no clock and
 * does no I/O. It is not safe for use by several threads.
 */
public final class LeaseElector {

    private static final int RENEWALS_A_LEASE = 4;

    private final Candidate self;
    private final int quorum;
    private final DomainTiming timing;
    private final RandomGenerator random;
    private final long startedAt;
    private final Set<InstanceId> grants = new HashSet<>();

    private Candidate grantedTo;
    private long grantedRound;
    private long grantedUntil;
    private long highestTerm;

    private long term;
    private long round;
    private long roundAt;
    private long heldUntil = Long.MIN_VALUE;
    private long nextRoundAt;

    /**
     * Creates the elector.
     *
     * @param self this process
     * @param members how many processes grant the lease, this one included
     * @param timing the time limits
     * @param random the source of random delays
     * @param now the clock
     */
    public LeaseElector(InstanceId self, int members, DomainTiming timing, RandomGenerator random, long now) {
        this.self = new Candidate(self, random.nextLong());
        this.quorum = members / 2 + 1;
        this.timing = timing;
        this.random = random;
        this.startedAt = now;
        this.nextRoundAt = now + timing.controllerLease() + jitter();
    }

    /**
     * Lets time pass.
     *
     * @param now the clock
     * @return the message to send to all others; null if there is none
     */
    public LeaseMessage tick(long now) {
        if (now < nextRoundAt) {
            return null;
        }
        if (holds(now)) {
            // A candidate that cannot win may have raised the term; a holder that kept to its own would lose the lease.
            return ask(now, Math.max(term, highestTerm));
        }
        if (isGranted(now) && !grantedTo.equals(self)) {
            nextRoundAt = grantedUntil + jitter();
            return null;
        }
        if (isGranted(now)) {
            // Asked and not won: candidates that hold on to their own grants would block each other for ever.
            return giveUp(now);
        }
        return ask(now, highestTerm + 1);
    }

    private LeaseMessage ask(long now, long askedTerm) {
        term = askedTerm;
        round++;
        roundAt = now;
        nextRoundAt = now + timing.controllerLease() / RENEWALS_A_LEASE;
        grants.clear();
        LeaseMessage.Request request = new LeaseMessage.Request(self, term, round);
        receive(now, answer(now, request));
        return request;
    }

    private LeaseMessage giveUp(long now) {
        long askedRound = round;
        round++;
        grants.clear();
        grantedUntil = Long.MIN_VALUE;
        nextRoundAt = now + jitter();
        return new LeaseMessage.Release(self, askedRound);
    }

    /**
     * Answers the request of a candidate.
     *
     * @param now the clock
     * @param request the request
     * @return the answer
     */
    public LeaseMessage.Reply answer(long now, LeaseMessage.Request request) {
        boolean justStarted = now - startedAt < timing.controllerLease();
        boolean heldByOther = isGranted(now) && !grantedTo.equals(request.candidate());
        boolean granted = !justStarted && !heldByOther && request.term() >= highestTerm;
        if (granted) {
            grantedTo = request.candidate();
            grantedRound = request.round();
            grantedUntil = now + timing.controllerLease();
            highestTerm = request.term();
        }
        return new LeaseMessage.Reply(self.instance(), request.candidate(), granted, highestTerm, request.round());
    }

    /**
     * Takes an answer to this process's own request.
     *
     * @param now the clock
     * @param reply the answer
     */
    public void receive(long now, LeaseMessage.Reply reply) {
        highestTerm = Math.max(highestTerm, reply.term());
        if (!self.equals(reply.candidate()) || reply.round() != round || !reply.granted()) {
            return;
        }
        grants.add(reply.from());
        if (grants.size() >= quorum) {
            heldUntil = Math.max(heldUntil, roundAt + timing.trustedLease());
        }
    }

    /**
     * Takes the release of a lease.
     *
     * @param release the release
     */
    public void receive(LeaseMessage.Release release) {
        if (release.holder().equals(grantedTo) && release.round() >= grantedRound) {
            grantedUntil = Long.MIN_VALUE;
        }
    }

    /**
     * Gives the lease back.
     *
     * @param now the clock
     * @return the release to send to all others; null if the lease is not held
     */
    public LeaseMessage.Release release(long now) {
        if (!holds(now)) {
            return null;
        }
        long askedRound = round;
        round++;
        grants.clear();
        heldUntil = Long.MIN_VALUE;
        grantedUntil = Long.MIN_VALUE;
        nextRoundAt = now + timing.controllerLease();
        return new LeaseMessage.Release(self, askedRound);
    }

    /**
     * Says whether this process holds the lease.
     *
     * @param now the clock
     * @return true if it does
     */
    public boolean holds(long now) {
        return now < heldUntil;
    }

    /**
     * Gives the term of the lease that this process holds or last asked for.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * Gives the process to which this one has granted the lease.
     *
     * @param now the clock
     * @return the process; null if no grant is in force
     */
    public InstanceId holder(long now) {
        return isGranted(now) ? grantedTo.instance() : null;
    }

    private boolean isGranted(long now) {
        return grantedTo != null && now < grantedUntil;
    }

    private long jitter() {
        return random.nextLong(timing.controllerLease() / RENEWALS_A_LEASE);
    }
}
