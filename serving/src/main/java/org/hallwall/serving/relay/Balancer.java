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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;

/** Chooses targets by the least own outstanding work; used on the I/O thread only. */
public final class Balancer {

    /** What a target in another failure domain counts as, in requests; breaks ties in favour of the own one. */
    private static final double OTHER_DOMAIN = 1.5;
    /** Added to a paused target's load: it is chosen only if there is no other. */
    private static final double PAUSED = 1_000;

    private static final int FORGET_ABOVE = 2_000;

    private final String failureDomain;
    private final Ticker ticker;
    private final Map<InstanceId, TargetState> states = new HashMap<>();

    /**
     * Creates a balancer.
     *
     * @param failureDomain the own failure domain
     * @param ticker the clock
     */
    public Balancer(String failureDomain, Ticker ticker) {
        this.failureDomain = failureDomain;
        this.ticker = ticker;
    }

    /**
     * Chooses a target.
     *
     * @param targets the targets that may take the request
     * @param tried those that it was sent to already
     * @return the choice, or null if none is left
     */
    ServingTarget choose(List<ServingTarget> targets, Set<InstanceId> tried) {
        long now = ticker.millis();
        ServingTarget best = null;
        double least = Double.MAX_VALUE;
        for (ServingTarget t : targets) {
            if (tried.contains(t.instance())) {
                continue;
            }
            double load = load(t, now);
            if (load < least) {
                least = load;
                best = t;
            }
        }
        return best;
    }

    /**
     * Gives what this entry has seen of a target.
     *
     * @param target the target
     * @return its state
     */
    TargetState state(ServingTarget target) {
        if (states.size() > FORGET_ABOVE) {
            states.values().removeIf(s -> s.outstanding() == 0);
        }
        return states.computeIfAbsent(target.instance(), i -> new TargetState());
    }

    private double load(ServingTarget t, long now) {
        TargetState s = state(t);
        double load = (s.outstanding() + 1) * t.slowness()
                + ThreadLocalRandom.current().nextDouble();
        if (!t.failureDomain().equals(failureDomain)) {
            load += OTHER_DOMAIN;
        }
        return s.isPaused(now) ? load + PAUSED : load;
    }
}
