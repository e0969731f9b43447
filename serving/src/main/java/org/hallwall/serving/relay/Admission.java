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
import java.util.concurrent.ConcurrentHashMap;

/** The admission windows of an entry, one for each model; places are taken on the I/O thread only. */
public final class Admission {

    private final Map<String, AdmissionWindow> windows = new ConcurrentHashMap<>();
    private volatile int entries = 1;

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
     * @param targets the groups that may take it
     * @return the window with the place taken, or null if the request is not admitted
     */
    AdmissionWindow enter(RelayRequest request, List<ServingTarget> targets) {
        AdmissionWindow w = windows.computeIfAbsent(String.valueOf(request.model()), k -> new AdmissionWindow());
        int slots = targets.stream().mapToInt(ServingTarget::slots).sum();
        return w.tryEnter(slots, entries) ? w : null;
    }

    /**
     * Counts the streams in progress.
     *
     * @return how many by model
     */
    public Map<String, Integer> streams() {
        Map<String, Integer> out = new HashMap<>();
        windows.forEach((model, w) -> out.put(model, w.inProgress()));
        return out;
    }
}
