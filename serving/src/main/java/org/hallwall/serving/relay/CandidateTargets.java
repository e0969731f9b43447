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

/** Lists the targets that serve a request and are currently available. */
final class CandidateTargets {

    /** Jitter added to Retry-After, in milliseconds, to spread the retries of clients. */
    private static final long RETRY_JITTER_MILLIS = 250;

    private final EntryState state;
    private final TargetAvailability availability;
    private final EntryPermits permits;
    private final DoubleSupplier random;

    /**
     * Creates the candidates.
     *
     * @param state the serving targets
     * @param availability the availability of targets
     * @param permits the permits for targets with a rate limit
     * @param random the source of random numbers in [0, 1)
     */
    CandidateTargets(EntryState state, TargetAvailability availability, EntryPermits permits, DoubleSupplier random) {
        this.state = state;
        this.availability = availability;
        this.permits = permits;
        this.random = random;
    }

    /** Returns the targets that are available for a request. */
    List<ServingTarget> available(RelayRequest request) {
        return serving(request).stream()
                .filter(t -> availability.isAvailable(t.instance()))
                .toList();
    }

    /** Returns the candidates without a rate limit. */
    List<ServingTarget> withoutRateLimit(List<ServingTarget> candidates) {
        return candidates.stream().filter(t -> !permits.isLimited(t.instance())).toList();
    }

    /** Returns the candidates with a rate limit; this entry has a permit for each. */
    List<ServingTarget> withRateLimit(List<ServingTarget> candidates) {
        return candidates.stream().filter(t -> permits.isLimited(t.instance())).toList();
    }

    /**
     * Records the arrival of a request, so that permits are requested in advance. The demand is distributed evenly if
     * there are targets without a rate limit, otherwise in proportion to the limits.
     */
    void recordArrival(RelayRequest request) {
        if (permits.limitedTargets() == 0) {
            return;
        }
        List<ServingTarget> all = serving(request).stream()
                .filter(t -> !availability.isDraining(t.instance()) && !availability.isBackingOff(t.instance()))
                .toList();
        boolean even = !withoutRateLimit(all).isEmpty();
        double sum = 0;
        for (ServingTarget t : all) {
            sum += even ? 1 : permits.perSecond(t.instance());
        }
        double point = random.getAsDouble() * sum;
        for (ServingTarget t : all) {
            point -= even ? 1 : permits.perSecond(t.instance());
            if (point < 0) {
                permits.recordDemand(t.instance());
                return;
            }
        }
    }

    private List<ServingTarget> serving(RelayRequest request) {
        return state.targets().find(request.service(), request.model());
    }

    /** Returns whether any target serves a request, available or not. */
    boolean hasServingTargets(RelayRequest request) {
        return !serving(request).isEmpty();
    }

    /** Describes why no target is left, for logs and clients. */
    String describe(RelayRequest request) {
        List<ServingTarget> all = serving(request);
        long available =
                all.stream().filter(t -> availability.isAvailable(t.instance())).count();
        return all.isEmpty()
                ? "no target serves this request"
                : "no target is left, " + available + " of " + all.size() + " are available, "
                        + withRateLimit(all).size() + " are rate-limited, the others back off or drain";
    }

    /**
     * Returns the Retry-After time of a request without an available target, in milliseconds: the end of the earliest
     * backoff or the next permit. If there is none, the default time.
     */
    long retryAfterMillis(RelayRequest request) {
        long earliest = Long.MAX_VALUE;
        for (ServingTarget t : serving(request)) {
            if (!availability.isDraining(t.instance())) {
                earliest = Math.min(earliest, availability.retryMillis(t.instance()));
            }
        }
        return earliest == 0 || earliest == Long.MAX_VALUE
                ? RelayContext.NO_TARGET_RETRY_AFTER_MILLIS
                : earliest + (long) (random.getAsDouble() * RETRY_JITTER_MILLIS);
    }
}
