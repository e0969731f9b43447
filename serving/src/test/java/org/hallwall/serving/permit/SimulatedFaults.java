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
package org.hallwall.serving.permit;

import java.util.Random;

/** A seeded schedule of faults and changing limits for a simulated system. */
final class SimulatedFaults {

    private static final double[] LIMITS = {-1, 0, 0.3, 1, 1.8, 2.2, 5, 12, 50};
    private static final int FAULTS = 12;
    private static final long MAX_FAULT_MILLIS = 6_000;

    private final SimulatedSystem system;
    private final Random random;
    private final long end;

    SimulatedFaults(SimulatedSystem system, long end, long seed) {
        this.system = system;
        this.random = new Random(seed);
        this.end = end;
    }

    void plan() {
        for (int t = 0; t < system.targets().size(); t++) {
            planLimits(t);
        }
        for (int i = 0; i < FAULTS; i++) {
            long time = (long) (random.nextDouble() * end);
            system.at(time, this::injectFault);
        }
        system.at((long) (random.nextDouble() * end), this::shiftLoad);
    }

    /** A third of the targets change their limit every few seconds, a third declare one limit and the others none. */
    private void planLimits(int t) {
        int kind = t % 3;
        int changes = kind == 0 ? 4 : kind == 1 ? 1 : 0;
        long time = 1_000 + random.nextInt(4_000);
        for (int i = 0; i < changes; i++) {
            double limit = LIMITS[random.nextInt(LIMITS.length)];
            system.at(time, () -> system.setLimit(t, limit));
            time += 500 + random.nextInt(12_000);
        }
    }

    private void injectFault() {
        long millis = 100 + (long) (random.nextDouble() * MAX_FAULT_MILLIS);
        SimulatedEntry entry =
                system.entries().get(random.nextInt(system.entries().size()));
        switch (random.nextInt(6)) {
            case 0:
                entry.restart(millis);
                break;
            case 1:
                entry.suspend(millis);
                break;
            case 2:
                entry.partition(millis);
                break;
            case 3:
                system.changeLeader(random.nextInt(1_000));
                break;
            case 4:
                system.loseLeader(millis);
                break;
            default:
                system.entries().stream().filter(e -> random.nextBoolean()).forEach(e -> e.partition(millis));
                break;
        }
    }

    /** Moves most of the load to few entries. */
    private void shiftLoad() {
        double[] weights = system.weights();
        for (int e = 0; e < weights.length; e++) {
            weights[e] = random.nextInt(4) == 0 ? 1 : 0.02;
        }
    }
}
