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
package org.hallwall.simulation;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.availability.TargetNotice;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.serving.permit.PermitAllocator;
import org.hallwall.serving.permit.RateLimit;

/** Simulates the unavailability of group heads and the availability state that entries derive from their answers. */
final class SimulatedHeads {

    private static final InstanceId ENTRY = new InstanceId("entry");
    /** Fraction of streams that a head rejects while it backs off. */
    private static final double REJECTED_FRACTION = 0.9;

    private final UnavailabilitySchedule schedule;
    private final UniformRandomProvider random;
    private final PermitAllocator allocator;
    private final EntryPermits permits;
    private final TargetAvailability availability;
    private long now;
    private long elapsedMillis;

    SimulatedHeads(UnavailabilitySchedule schedule, UniformRandomProvider random) {
        this.schedule = schedule;
        this.random = random;
        this.allocator = new PermitAllocator(() -> now, 0);
        this.permits = new EntryPermits(() -> now, random::nextDouble);
        this.availability = new TargetAvailability(() -> now, permits);
    }

    /** Sets the clock and the time since the end of the warm-up, and renews permits that are due. */
    void advanceTo(long clock, long sinceWarmUp) {
        now = clock;
        elapsedMillis = sinceWarmUp;
        if (permits.millisUntilDue() == 0) {
            permits.applyGrants(allocator.allocate(ENTRY, permits.dueRequests()), now);
        }
    }

    /** Records permit demand for a stream that any of the given groups could serve. */
    void recordDemand(List<SimulatedGroup> groups) {
        if (schedule.rateLimitPerSecond() > 0 && !groups.isEmpty()) {
            permits.recordDemand(groups.get(random.nextInt(groups.size())).head());
        }
    }

    /** Returns whether the entries consider the head of a group available. */
    boolean isAvailable(SimulatedGroup group) {
        return availability.isAvailable(group.head());
    }

    /** Sends a stream to the head of a group and returns whether it accepts the stream. */
    boolean trySend(SimulatedGroup group) {
        if (schedule.rateLimitPerSecond() > 0) {
            return trySendWithinLimit(group.head());
        }
        if (!isUnavailable(group.head())) {
            return true;
        }
        if (schedule.draining()) {
            availability.applyNotice(group.head(), TargetNotice.draining());
            return true;
        }
        if (random.nextDouble() >= REJECTED_FRACTION) {
            return true;
        }
        availability.applyNotice(group.head(), TargetNotice.backoff(schedule.backoffMillis()));
        return false;
    }

    private boolean trySendWithinLimit(InstanceId head) {
        if (!availability.tryAcquireForRequest(head)) {
            return false;
        }
        boolean limited = isUnavailable(head);
        RateLimit limit = new RateLimit(schedule.rateLimitPerSecond());
        availability.applyResponse(head, limited ? TargetNotice.limited(limit) : TargetNotice.NONE, now);
        return true;
    }

    private boolean isUnavailable(InstanceId head) {
        boolean inWindow = elapsedMillis >= schedule.startMillis()
                && elapsedMillis < schedule.startMillis() + schedule.durationMillis();
        // selected by a hash of the name, so that the random sequence of the run is unaffected
        return inWindow && Math.floorMod(head.value().hashCode(), 100) < schedule.fraction() * 100;
    }
}
