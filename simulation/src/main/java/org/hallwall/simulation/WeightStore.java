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

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The weight store of a deployment. Loads beyond the concurrency limit share its throughput. */
final class WeightStore {

    private final int maxConcurrentLoads;
    private final Map<SimulatedEngine, Load> loads = new LinkedHashMap<>();

    WeightStore(int maxConcurrentLoads) {
        this.maxConcurrentLoads = maxConcurrentLoads;
    }

    void startLoad(SimulatedEngine e, String model, double millis) {
        loads.putIfAbsent(e, new Load(model, millis));
    }

    boolean isLoading(SimulatedEngine e) {
        return loads.containsKey(e);
    }

    /** Advances all loads and returns the engines whose load has completed. */
    List<SimulatedEngine> advance(long millis) {
        double progressMillis = millis * Math.min(1.0, (double) maxConcurrentLoads / Math.max(1, loads.size()));
        List<SimulatedEngine> ended = new ArrayList<>();
        loads.forEach((e, l) -> {
            l.remainingMillis -= progressMillis;
            if (l.remainingMillis <= 0) {
                e.stagedModel = l.model;
                ended.add(e);
            }
        });
        ended.forEach(loads::remove);
        return ended;
    }

    void cancelLoad(SimulatedEngine e) {
        loads.remove(e);
    }

    private static final class Load {

        private final String model;
        private double remainingMillis;

        Load(String model, double leftMillis) {
            this.model = model;
            this.remainingMillis = leftMillis;
        }
    }
}
