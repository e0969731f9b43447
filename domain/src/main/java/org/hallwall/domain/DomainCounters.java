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
package org.hallwall.domain;

import java.util.Map;
import java.util.TreeMap;

/** The counters of group downtime and stranded accelerators of a failure domain. */
final class DomainCounters {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<String, Double> downtimeSeconds = new TreeMap<>();
    private double strandedSeconds;
    private int strandedAccelerators;

    void merge(DomainMessage.Beacon beacon) {
        strandedSeconds = Math.max(strandedSeconds, beacon.strandedAcceleratorSeconds());
        for (Map.Entry<String, Double> e : beacon.downtimeSeconds().entrySet()) {
            downtimeSeconds.merge(e.getKey(), e.getValue(), Math::max);
        }
    }

    void addDowntime(String modelGroup, int missing, long millis) {
        downtimeSeconds.merge(modelGroup, missing * millis / MILLIS_PER_SECOND, Double::sum);
    }

    void addStranded(int accelerators, long millis) {
        strandedAccelerators = accelerators;
        strandedSeconds += accelerators * millis / MILLIS_PER_SECOND;
    }

    Map<String, Double> downtimeSeconds() {
        return new TreeMap<>(downtimeSeconds);
    }

    double downtimeSeconds(String modelGroup) {
        return downtimeSeconds.getOrDefault(modelGroup, 0.0);
    }

    double strandedSeconds() {
        return strandedSeconds;
    }

    int strandedAccelerators() {
        return strandedAccelerators;
    }
}
