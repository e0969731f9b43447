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
package org.hallwall.serving.relay;

import java.util.List;
import java.util.function.DoubleSupplier;

import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.permit.EntryPermits;

/** The targets that a request may go to at this moment: those that serve it and are available. */
final class Candidates {

    /** How far apart callers retry who are told the same moment, in milliseconds: long enough that they are not one burst. */
    private static final long SPREAD_MILLIS = 250;

    private final EntryState state;
    private final TargetAvailability availability;
    private final EntryPermits permits;
    private final DoubleSupplier random;

    /**
     * Creates it.
     *
     * @param state the targets that serve
     * @param availability which of them are available
     * @param permits this entry's permits for targets with a rate limit
     * @param random draws from 0 to 1
     */
    Candidates(EntryState state, TargetAvailability availability, EntryPermits permits, DoubleSupplier random) {
        this.state = state;
        this.availability = availability;
        this.permits = permits;
        this.random = random;
    }

    /** Lists the targets that a request may be sent to now. */
    List<ServingTarget> of(RelayRequest request) {
        return serving(request).stream()
                .filter(t -> availability.isAvailable(t.instance()))
                .toList();
    }

    /** Lists those of some candidates that have no rate limit. */
    List<ServingTarget> unlimited(List<ServingTarget> candidates) {
        return candidates.stream().filter(t -> !permits.isLimited(t.instance())).toList();
    }

    /** Lists those of some candidates that have a rate limit; this entry has a permit for each. */
    List<ServingTarget> limited(List<ServingTarget> candidates) {
        return candidates.stream().filter(t -> permits.isLimited(t.instance())).toList();
    }

    /**
     * Notes a request that comes, so that permits are asked for in advance: where there are targets without a limit each target would
     * get an even share of the requests, else a share by its limit.
     */
    void arrived(RelayRequest request) {
        if (permits.limited() == 0) {
            return;
        }
        List<ServingTarget> all = serving(request).stream()
                .filter(t -> !availability.isDraining(t.instance()) && !availability.isBackingOff(t.instance()))
                .toList();
        boolean even = !unlimited(all).isEmpty();
        double sum = 0;
        for (ServingTarget t : all) {
            sum += even ? 1 : permits.perSecond(t.instance());
        }
        double drawn = random.getAsDouble() * sum;
        for (ServingTarget t : all) {
            drawn -= even ? 1 : permits.perSecond(t.instance());
            if (drawn < 0) {
                permits.want(t.instance());
                return;
            }
        }
    }

    private List<ServingTarget> serving(RelayRequest request) {
        return state.targets().of(request.service(), request.model());
    }

    /** Says whether there are targets that serve a request, though none may be available now. */
    boolean serveLater(RelayRequest request) {
        return !serving(request).isEmpty();
    }

    /** Tells why none is left, for logs and callers. */
    String describe(RelayRequest request) {
        List<ServingTarget> all = serving(request);
        long available =
                all.stream().filter(t -> availability.isAvailable(t.instance())).count();
        return all.isEmpty()
                ? "no target serves"
                : "no target is left, " + available + " of " + all.size() + " are available, "
                        + limited(all).size() + " are rate-limited, the others back off or drain";
    }

    /**
     * Says when a caller should retry whose request found no target, in milliseconds: when the first target no longer backs off or the
     * first permit is due. Until then nobody would take it, and where all drain or one is left that has failed, repair takes the usual time.
     */
    long retryAfterMillis(RelayRequest request) {
        long earliest = Long.MAX_VALUE;
        for (ServingTarget t : serving(request)) {
            if (!availability.isDraining(t.instance())) {
                earliest = Math.min(earliest, availability.retryMillis(t.instance()));
            }
        }
        return earliest == 0 || earliest == Long.MAX_VALUE
                ? RelayContext.RETRY_AFTER_MILLIS
                : earliest + (long) (random.getAsDouble() * SPREAD_MILLIS);
    }
}
