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
 * Admission control for streams. Confined to the I/O thread.
 *
 * <p>While the load of all entries is known, a stream is admitted if the groups of its model have capacity. Retried
 * streams have a lower limit than new ones: otherwise retries would fill the groups under sustained overload, and every
 * request would be refused once. Without the load of other entries, each entry uses an admission window per model.
 */
public final class AdmissionControl {

    private final Balancer balancer;
    private final FleetLoad fleet;
    private final Mechanisms mechanisms;
    private final Map<String, AdmissionWindow> windows = new ConcurrentHashMap<>();
    private final Map<String, RefusedDemand> refusedDemands = new ConcurrentHashMap<>();
    private final Ticker ticker;
    private volatile int entryCount = 1;

    /**
     * Creates the admission control.
     *
     * @param balancer the balancer, which counts outstanding requests
     * @param fleet the load of other entries
     * @param mechanisms the enabled mechanisms
     * @param ticker the clock
     */
    public AdmissionControl(Balancer balancer, FleetLoad fleet, Mechanisms mechanisms, Ticker ticker) {
        this.balancer = balancer;
        this.fleet = fleet;
        this.mechanisms = mechanisms;
        this.ticker = ticker;
    }

    /**
     * Sets the number of entries that share the groups.
     *
     * @param count the number of entries
     */
    public void setEntryCount(int count) {
        entryCount = Math.max(1, count);
    }

    /**
     * Tries to admit a stream.
     *
     * @param request the request
     * @param targets the candidate groups without a rate limit
     * @param permitted whether a group with a rate limit has a permit and a free slot
     * @return the window that counts the stream, or null if the request is not admitted
     */
    AdmissionWindow tryAdmit(RelayRequest request, List<ServingTarget> targets, boolean permitted) {
        AdmissionWindow w = windows.computeIfAbsent(key(request), k -> new AdmissionWindow());
        boolean admitted = permitted ? w.acquire() : tryEnter(w, request, targets);
        if (!admitted) {
            recordRefusal(request);
        }
        return admitted ? w : null;
    }

    /**
     * Records a refused stream, which counts as demand.
     *
     * @param request the request
     */
    void recordRefusal(RelayRequest request) {
        if (!request.likelyRetry() && mechanisms.isEnabled(Mechanism.REFUSED_DEMAND)) {
            refusedDemand(request).recordRefusal(ticker.millis());
        }
    }

    private boolean tryEnter(AdmissionWindow w, RelayRequest request, List<ServingTarget> targets) {
        if (fleet.isFresh() && !targets.isEmpty()) {
            return hasCapacity(request, targets) && w.acquire();
        }
        int slots = targets.stream().mapToInt(ServingTarget::slots).sum();
        return w.tryAcquire(slots, entryCount);
    }

    /**
     * Releases an admitted stream.
     *
     * @param window the window that counts the stream
     * @param request the request
     */
    void release(AdmissionWindow window, RelayRequest request) {
        window.release();
        refusedDemand(request).recordCompletion(ticker.millis() - request.receivedAt());
    }

    private RefusedDemand refusedDemand(RelayRequest request) {
        return refusedDemands.computeIfAbsent(key(request), k -> new RefusedDemand());
    }

    private static String key(RelayRequest request) {
        return String.valueOf(request.model());
    }

    /**
     * Describes the load behind a refusal, for logs and clients.
     *
     * @param request the request
     * @param targets the candidate groups
     * @return the load and its age
     */
    String describe(RelayRequest request, List<ServingTarget> targets) {
        if (!fleet.isFresh()) {
            return "all groups are full according to this entry";
        }
        return String.format(
                Locale.ROOT,
                "all groups are full, %d outstanding in %.0f slots of %d groups %d ms ago%s",
                outstanding(targets),
                effectiveSlots(targets),
                targets.size(),
                fleet.ageMillis(),
                request.likelyRetry() ? ", retried request" : "");
    }

    private boolean hasCapacity(RelayRequest request, List<ServingTarget> targets) {
        boolean retried = request.likelyRetry() && mechanisms.isEnabled(Mechanism.RETURNS_LAST);
        return StreamCapacity.hasCapacity(outstanding(targets), effectiveSlots(targets), retried);
    }

    private int outstanding(List<ServingTarget> targets) {
        return targets.stream().mapToInt(balancer::outstanding).sum();
    }

    private static double effectiveSlots(List<ServingTarget> targets) {
        return targets.stream().mapToDouble(t -> t.slots() / t.slowdown()).sum();
    }

    /**
     * Returns the demand for slots: active streams and an estimate for the refused ones.
     *
     * @return the number of streams by model
     */
    public Map<String, Integer> streamDemand() {
        Map<String, Integer> out = new HashMap<>();
        windows.forEach((model, w) -> {
            RefusedDemand r = refusedDemands.get(model);
            double slots = r == null ? 0 : r.estimatedSlots(ticker.millis());
            out.put(model, w.inProgress() + (int) Math.round(slots));
        });
        return out;
    }
}
