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
package org.hallwall.serving.group;

import java.util.HashMap;
import java.util.Map;

/** Exponential moving average of the demanded streams by model, so that short bursts do not cause groups to be dissolved. */
final class StreamAverage {

    /** The time constant of the average, in milliseconds: several stream durations, and less than the duration of a load. */
    private static final double TIME_CONSTANT_MILLIS = 4_000;

    private final Map<String, Double> averages = new HashMap<>();
    private long updatedAt = Long.MIN_VALUE / 2;

    void update(long now, Map<String, Integer> streams) {
        double weight = 1 - Math.exp(-(now - updatedAt) / TIME_CONSTANT_MILLIS);
        updatedAt = now;
        streams.keySet().forEach(m -> averages.putIfAbsent(m, 0.0));
        averages.replaceAll((m, old) -> old + weight * (streams.getOrDefault(m, 0) - old));
    }

    Map<String, Double> byModel() {
        return averages;
    }
}
