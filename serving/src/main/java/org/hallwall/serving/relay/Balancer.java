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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.decision.Mechanism;
import org.hallwall.serving.decision.Mechanisms;

/**
 * Least-outstanding-requests load balancer. Confined to the I/O thread.
 *
 * <p>If the load of all entries is known, it uses power of two choices: the load is slightly stale, and all entries
 * would otherwise overload the least loaded target.
 */
public final class Balancer {

    /** Load penalty of targets in other failure domains, in requests. */
    private static final double REMOTE_DOMAIN_PENALTY = 1.5;

    /** Maximum utilization of a local group for which no other groups are considered; above it, prompts queue. */
    private static final double LOCAL_LOAD_LIMIT = 0.5;

    /** Maximum utilization of a target after a hedged attempt; the other slots are left to new requests. */
    private static final double HEDGE_LOAD_LIMIT = 0.75;

    private static final int MAX_STATES = 2_000;

    private final String failureDomain;
    private final FleetLoad fleet;
    private final Mechanisms mechanisms;
    private final DoubleSupplier random;
    private final Ticker ticker;
    /** Metrics read it from another thread. */
    private final Map<InstanceId, TargetState> states = new ConcurrentHashMap<>();

    /**
     * Creates a balancer.
     *
     * @param failureDomain the local failure domain
     * @param fleet the load of other entries
     * @param mechanisms the enabled mechanisms
     * @param random supplies numbers in [0, 1)
     * @param ticker the clock
     */
    public Balancer(
            String failureDomain, FleetLoad fleet, Mechanisms mechanisms, DoubleSupplier random, Ticker ticker) {
        this.failureDomain = failureDomain;
        this.fleet = fleet;
        this.mechanisms = mechanisms;
        this.random = random;
        this.ticker = ticker;
    }

    /**
     * Selects a target.
     *
     * @param targets the candidate targets
     * @param tried the targets already tried
     * @return the target, or null if none is left
     */
    ServingTarget choose(List<ServingTarget> targets, Set<InstanceId> tried) {
        List<ServingTarget> remaining = eligible(targets, tried);
        ServingTarget local =
                fleet.isFresh() && mechanisms.isEnabled(Mechanism.NEAR_FIRST) ? chooseLocal(remaining) : null;
        if (local != null) {
            return local;
        }
        if (fleet.isFresh() && remaining.size() > 2 && mechanisms.isEnabled(Mechanism.TWO_CHOICES)) {
            remaining = pickTwo(remaining);
        }
        ServingTarget best = null;
        double least = Double.MAX_VALUE;
        for (ServingTarget t : remaining) {
            double load = load(t);
            if (load < least) {
                least = load;
                best = t;
            }
        }
        return best;
    }

    /**
     * Selects the least loaded target that has a free slot and is not ejected.
     *
     * @param targets the candidate targets
     * @param tried the targets already tried
     * @return the target, or null if there is none
     */
    ServingTarget chooseWithFreeSlot(List<ServingTarget> targets, Set<InstanceId> tried) {
        long now = ticker.millis();
        ServingTarget best = null;
        for (ServingTarget t : eligible(targets, tried)) {
            boolean usable = hasFreeSlot(t) && !state(t).isEjected(now);
            if (usable && (best == null || load(t) < load(best))) {
                best = t;
            }
        }
        return best;
    }

    /**
     * Selects the less loaded of two random local groups, if its load permits timely first events. Traffic between
     * failure domains is billed and has a higher latency.
     */
    private ServingTarget chooseLocal(List<ServingTarget> targets) {
        List<ServingTarget> local = new ArrayList<>();
        for (ServingTarget t : targets) {
            if (t.group() != null && t.failureDomain().equals(failureDomain)) {
                local.add(t);
            }
        }
        ServingTarget best = null;
        for (ServingTarget t : local.size() > 2 ? pickTwo(local) : local) {
            if (best == null || load(t) < load(best)) {
                best = t;
            }
        }
        return best != null && outstanding(best) * best.slowdown() < best.slots() * LOCAL_LOAD_LIMIT ? best : null;
    }

    /**
     * Returns the untried targets that are not displaced; ejected ones only if there are no others. If all others are full, stalled
     * ones with a free slot: those that pause serve the request later, while a full one rejects it.
     */
    private List<ServingTarget> eligible(List<ServingTarget> targets, Set<InstanceId> tried) {
        long now = ticker.millis();
        List<ServingTarget> healthy = new ArrayList<>();
        List<ServingTarget> ejected = new ArrayList<>();
        List<ServingTarget> stalled = new ArrayList<>();
        boolean full = true;
        for (ServingTarget t : targets) {
            if (tried.contains(t.instance()) || state(t).isDisplaced(t, now)) {
                continue;
            }
            if (!state(t).isEjected(now)) {
                healthy.add(t);
                full &= !hasFreeSlot(t);
                continue;
            }
            ejected.add(t);
            if (state(t).isEjectedForStall(now) && hasFreeSlot(t)) {
                stalled.add(t);
            }
        }
        if (full && !stalled.isEmpty()) {
            return stalled;
        }
        return healthy.isEmpty() ? ejected : healthy;
    }

    /**
     * Returns whether a target has a free slot, according to the known outstanding requests.
     *
     * @param target the target
     * @return true if it has
     */
    boolean hasFreeSlot(ServingTarget target) {
        return occupied(target) < target.slots();
    }

    /**
     * Returns whether a target has slots to spare for requests that another target may still serve.
     *
     * @param target the target
     * @return true if it has
     */
    boolean hasSpareSlot(ServingTarget target) {
        return occupied(target) + 1 <= target.slots() * HEDGE_LOAD_LIMIT;
    }

    private int occupied(ServingTarget target) {
        return outstanding(target) + state(target).held(ticker.millis());
    }

    private List<ServingTarget> pickTwo(List<ServingTarget> targets) {
        int first = randomIndex(targets.size());
        int second = (first + 1 + randomIndex(targets.size() - 1)) % targets.size();
        return List.of(targets.get(first), targets.get(second));
    }

    private int randomIndex(int size) {
        return (int) (random.getAsDouble() * size);
    }

    /**
     * Returns the outstanding requests at a target, including the known ones of other entries.
     *
     * @param target the target
     * @return the number of requests
     */
    int outstanding(ServingTarget target) {
        return state(target).outstanding() + fleet.othersOutstanding(target.instance());
    }

    /**
     * Returns the outstanding requests of this entry.
     *
     * @return the number by target; targets without requests are omitted
     */
    Map<String, Integer> outstanding() {
        Map<String, Integer> out = new HashMap<>();
        states.forEach((id, s) -> {
            if (s.outstanding() > 0) {
                out.put(id.value(), s.outstanding());
            }
        });
        return out;
    }

    /**
     * Returns the state of a target.
     *
     * @param target the target
     * @return the state
     */
    TargetState state(ServingTarget target) {
        if (states.size() > MAX_STATES) {
            states.values().removeIf(s -> s.outstanding() == 0 && !s.hasUnread());
        }
        return states.computeIfAbsent(target.instance(), i -> new TargetState());
    }

    /**
     * Discards what targets that have ended will never read.
     *
     * @param hasEnded returns whether a target has ended
     */
    void abortUnread(Predicate<InstanceId> hasEnded) {
        unreadStates().forEach((id, s) -> {
            if (hasEnded.test(id)) {
                s.unreadAttempts(ticker.millis()).logSettled(id, "it has ended");
                s.abortUnread();
            }
        });
    }

    /** Returns the states of the targets that may still read abandoned attempts. */
    Map<InstanceId, TargetState> unreadStates() {
        Map<InstanceId, TargetState> out = new HashMap<>();
        states.forEach((id, s) -> {
            if (s.hasUnread()) {
                out.put(id, s);
            }
        });
        return out;
    }

    /**
     * Returns the abandoned attempts that targets may still read.
     *
     * @return the attempts by target; targets without such attempts are omitted
     */
    public Map<String, UnreadAttempts> unreadAttempts() {
        Map<String, UnreadAttempts> out = new TreeMap<>();
        states.forEach((id, s) -> {
            UnreadAttempts unread = s.unreadAttempts(ticker.millis());
            if (unread.count() > 0) {
                out.put(id.value(), unread);
            }
        });
        return out;
    }

    private double load(ServingTarget t) {
        int outstanding = state(t).outstanding() + (fleet.isFresh() ? fleet.othersOutstanding(t.instance()) : 0);
        double load = (outstanding + 1) * t.slowdown() + random.getAsDouble();
        return t.failureDomain().equals(failureDomain) ? load : load + REMOTE_DOMAIN_PENALTY;
    }
}
