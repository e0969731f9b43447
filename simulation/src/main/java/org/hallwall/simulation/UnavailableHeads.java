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
import org.hallwall.serving.permit.PermitLedger;
import org.hallwall.serving.permit.RateLimit;

/** Heads that are not available for a time, by what they answer, and what callers' entries know of it. */
final class UnavailableHeads {

    private static final InstanceId ENTRY = new InstanceId("entry");
    /** The part of streams that such a head turns away. */
    private static final double TURNED_AWAY = 0.9;

    private final UnavailableTrouble trouble;
    private final UniformRandomProvider random;
    private final PermitLedger ledger;
    private final EntryPermits permits;
    private final TargetAvailability availability;
    private long now;
    private long at;

    UnavailableHeads(UnavailableTrouble trouble, UniformRandomProvider random) {
        this.trouble = trouble;
        this.random = random;
        this.ledger = new PermitLedger(() -> now, 0);
        this.permits = new EntryPermits(() -> now, random::nextDouble);
        this.availability = new TargetAvailability(() -> now, permits);
    }

    /** Lets time pass; the second figure is the time since callers come, in milliseconds. */
    void pass(long clock, long sinceCallers) {
        now = clock;
        at = sinceCallers;
        if (permits.dueMillis() == 0) {
            permits.take(ledger.take(ENTRY, permits.asks()), now);
        }
    }

    /** Notes a stream that may go to one of some groups, so that permits are asked for. */
    void arrived(List<GroupRun> groups) {
        if (trouble.perSecond() > 0 && !groups.isEmpty()) {
            permits.want(groups.get(random.nextInt(groups.size())).head());
        }
    }

    /** Says whether a head may be sent a stream, by what it has answered so far. */
    boolean wants(GroupRun group) {
        return availability.isAvailable(group.head());
    }

    /** Sends a stream to a head and says whether it takes it. */
    boolean takes(GroupRun group) {
        if (trouble.perSecond() > 0) {
            return takesWithinLimit(group.head());
        }
        if (!isUnavailable(group.head())) {
            return true;
        }
        if (trouble.draining()) {
            availability.take(group.head(), TargetNotice.draining());
            return true;
        }
        if (random.nextDouble() >= TURNED_AWAY) {
            return true;
        }
        availability.take(group.head(), TargetNotice.backoff(trouble.backoffMillis()));
        return false;
    }

    private boolean takesWithinLimit(InstanceId head) {
        if (!availability.tryRequest(head)) {
            return false;
        }
        boolean limited = isUnavailable(head);
        RateLimit limit = new RateLimit(trouble.perSecond());
        availability.takeAnswer(head, limited ? TargetNotice.limited(limit) : TargetNotice.NONE, now);
        return true;
    }

    private boolean isUnavailable(InstanceId head) {
        boolean time = at >= trouble.atMillis() && at < trouble.atMillis() + trouble.forMillis();
        // which ones are struck depends on the name alone, so that it does not draw from the day's chance
        return time && Math.floorMod(head.value().hashCode(), 100) < trouble.part() * 100;
    }
}
