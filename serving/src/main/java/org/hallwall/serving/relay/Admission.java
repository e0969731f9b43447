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
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.decision.Mechanism;
import org.hallwall.serving.decision.Mechanisms;

/**
 * Admits streams as long as their groups have room; used on the I/O thread only.
 *
 * <p>While the counts of all entries are known, the room is what all groups of the model have left. Retries
 * after a refusal are admitted after those that come first. Together no more are served either way, but if retries
 * went first, they would fill the groups in a long overload, and everyone would be refused once and late. Without the counts each
 * entry has a window of its own for each model.
 */
public final class Admission {

    private final Balancer balancer;
    private final FleetLoad fleet;
    private final Mechanisms mechanisms;
    private final Map<String, AdmissionWindow> windows = new ConcurrentHashMap<>();
    private final Map<String, RefusedStreams> refused = new ConcurrentHashMap<>();
    private final Ticker ticker;
    private volatile int entries = 1;

    /**
     * Creates it.
     *
     * @param balancer counts the requests in progress
     * @param fleet says whether those of other entries are known
     * @param mechanisms those in use
     * @param ticker the clock
     */
    public Admission(Balancer balancer, FleetLoad fleet, Mechanisms mechanisms, Ticker ticker) {
        this.balancer = balancer;
        this.fleet = fleet;
        this.mechanisms = mechanisms;
        this.ticker = ticker;
    }

    /**
     * Sets how many entries share the groups.
     *
     * @param count how many
     */
    public void entries(int count) {
        entries = Math.max(1, count);
    }

    /**
     * Takes a place for a stream.
     *
     * @param request the request
     * @param targets the groups without a rate limit that may take it
     * @param permitted whether a group with a rate limit has a permit and a slot for it
     * @return the window with the place taken, or null if the request is not admitted
     */
    AdmissionWindow enter(RelayRequest request, List<ServingTarget> targets, boolean permitted) {
        AdmissionWindow w = windows.computeIfAbsent(key(request), k -> new AdmissionWindow());
        boolean admitted = permitted ? w.enter() : mayEnter(w, request, targets);
        if (!admitted) {
            refuse(request);
        }
        return admitted ? w : null;
    }

    /**
     * Notes a stream that is not admitted: its demand counts all the same.
     *
     * @param request the request
     */
    void refuse(RelayRequest request) {
        if (!request.again() && mechanisms.has(Mechanism.REFUSED_DEMAND)) {
            refusedOf(request).refused(ticker.millis());
        }
    }

    private boolean mayEnter(AdmissionWindow w, RelayRequest request, List<ServingTarget> targets) {
        if (fleet.isKnown() && !targets.isEmpty()) {
            return hasRoom(request, targets) && w.enter();
        }
        int slots = targets.stream().mapToInt(ServingTarget::slots).sum();
        return w.tryEnter(slots, entries);
    }

    /**
     * Gives the place of a stream back.
     *
     * @param window the window that it entered
     * @param request the request
     */
    void leave(AdmissionWindow window, RelayRequest request) {
        window.leave();
        refusedOf(request).ended(ticker.millis() - request.receivedAt());
    }

    private RefusedStreams refusedOf(RelayRequest request) {
        return refused.computeIfAbsent(key(request), k -> new RefusedStreams());
    }

    private static String key(RelayRequest request) {
        return String.valueOf(request.model());
    }

    /**
     * Says what a refusal was decided by, for logs and callers.
     *
     * @param request the request
     * @param targets the groups that might have taken it
     * @return the counts and their age
     */
    String describe(RelayRequest request, List<ServingTarget> targets) {
        if (!fleet.isKnown()) {
            return "its groups are full, as far as this entry knows";
        }
        return String.format(
                Locale.ROOT,
                "its groups are full, %d in progress in %.0f slots of %d groups %d ms ago%s",
                running(targets),
                slots(targets),
                targets.size(),
                fleet.ageMillis(),
                request.again() ? ", it comes again" : "");
    }

    private boolean hasRoom(RelayRequest request, List<ServingTarget> targets) {
        boolean returns = request.again() && mechanisms.has(Mechanism.RETURNS_LAST);
        return StreamRoom.holds(running(targets), slots(targets), returns);
    }

    private int running(List<ServingTarget> targets) {
        return targets.stream().mapToInt(balancer::running).sum();
    }

    private static double slots(List<ServingTarget> targets) {
        return targets.stream().mapToDouble(t -> t.slots() / t.slowness()).sum();
    }

    /**
     * Counts the streams that want a slot: those in progress, and as many as the refused ones would be.
     *
     * @return how many by model
     */
    public Map<String, Integer> streams() {
        Map<String, Integer> out = new HashMap<>();
        windows.forEach((model, w) -> {
            RefusedStreams r = refused.get(model);
            double slots = r == null ? 0 : r.slots(ticker.millis());
            out.put(model, w.inProgress() + (int) Math.round(slots));
        });
        return out;
    }
}
