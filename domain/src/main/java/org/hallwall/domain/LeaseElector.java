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
 * Elects the holder of the controller lease, both as a candidate and as one of the processes that grant the lease.
 *
 * <p>A process holds the lease while a majority has granted it. Grants are not persisted: after a start, a process
 * grants nothing for one lease duration, so that it cannot contradict a grant made before the restart. This class reads
 * no clock, performs no I/O and is not thread-safe.
 */
public final class LeaseElector {

    private static final int RENEWALS_PER_LEASE = 4;

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
    private long roundStartedAt;
    private long heldUntil = Long.MIN_VALUE;
    private long nextRoundAt;

    /**
     * Creates the elector.
     *
     * @param self this process
     * @param members the number of processes that grant the lease, including this one
     * @param timing the time limits
     * @param random the source of random delays
     * @param now the current monotonic time in milliseconds
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
     * Requests, renews or abandons the lease when due.
     *
     * @param now the current monotonic time in milliseconds
     * @return the message to send to all other processes; null if there is none
     */
    public LeaseMessage tick(long now) {
        if (now < nextRoundAt) {
            return null;
        }
        if (holdsLease(now)) {
            // Another candidate may have raised the term; renewal requests with a lower term would be rejected.
            return requestLease(now, Math.max(term, highestTerm));
        }
        if (isGranted(now) && !grantedTo.equals(self)) {
            nextRoundAt = grantedUntil + jitter();
            return null;
        }
        if (isGranted(now)) {
            // The request did not reach a quorum; candidates that kept their own grants would block each other.
            return abandonRound(now);
        }
        return requestLease(now, highestTerm + 1);
    }

    private LeaseMessage requestLease(long now, long requestedTerm) {
        term = requestedTerm;
        round++;
        roundStartedAt = now;
        nextRoundAt = now + timing.controllerLease() / RENEWALS_PER_LEASE;
        grants.clear();
        LeaseMessage.Request request = new LeaseMessage.Request(self, term, round);
        handleReply(now, handleRequest(now, request));
        return request;
    }

    private LeaseMessage abandonRound(long now) {
        long requestedRound = round;
        round++;
        grants.clear();
        grantedUntil = Long.MIN_VALUE;
        nextRoundAt = now + jitter();
        return new LeaseMessage.Release(self, requestedRound);
    }

    /**
     * Handles the request of a candidate.
     *
     * @param now the current monotonic time in milliseconds
     * @param request the request
     * @return the reply
     */
    public LeaseMessage.Reply handleRequest(long now, LeaseMessage.Request request) {
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
     * Handles the reply to a request of this process.
     *
     * @param now the current monotonic time in milliseconds
     * @param reply the reply
     */
    public void handleReply(long now, LeaseMessage.Reply reply) {
        highestTerm = Math.max(highestTerm, reply.term());
        if (!self.equals(reply.candidate()) || reply.round() != round || !reply.granted()) {
            return;
        }
        grants.add(reply.from());
        if (grants.size() >= quorum) {
            heldUntil = Math.max(heldUntil, roundStartedAt + timing.safeLeaseDuration());
        }
    }

    /**
     * Handles the release of a lease by its holder.
     *
     * @param release the release
     */
    public void handleRelease(LeaseMessage.Release release) {
        if (release.holder().equals(grantedTo) && release.round() >= grantedRound) {
            grantedUntil = Long.MIN_VALUE;
        }
    }

    /**
     * Releases the lease.
     *
     * @param now the current monotonic time in milliseconds
     * @return the release to send to all other processes; null if the lease is not held
     */
    public LeaseMessage.Release release(long now) {
        if (!holdsLease(now)) {
            return null;
        }
        long requestedRound = round;
        round++;
        grants.clear();
        heldUntil = Long.MIN_VALUE;
        grantedUntil = Long.MIN_VALUE;
        nextRoundAt = now + timing.controllerLease();
        return new LeaseMessage.Release(self, requestedRound);
    }

    /**
     * Returns whether this process holds the lease.
     *
     * @param now the current monotonic time in milliseconds
     * @return true if so
     */
    public boolean holdsLease(long now) {
        return now < heldUntil;
    }

    /**
     * Returns the term of the lease that this process holds or last requested.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * Returns the process to which this one has granted the lease.
     *
     * @param now the current monotonic time in milliseconds
     * @return the process; null if no grant is valid
     */
    public InstanceId grantee(long now) {
        return isGranted(now) ? grantedTo.instance() : null;
    }

    private boolean isGranted(long now) {
        return grantedTo != null && now < grantedUntil;
    }

    private long jitter() {
        return random.nextLong(timing.controllerLease() / RENEWALS_PER_LEASE);
    }
}
