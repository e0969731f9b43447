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

import java.util.List;

import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;

/**
 * Load scenarios for group planning: two models of different group sizes share each fabric domain, engines are lost from groups
 * and replaced by engines without weights every few seconds, and the weight store limits the rate of loads.
 */
public enum LoadPattern {
    /** Groups of 4 and 2 in domains of 8; the initial fleet has a third more engines than required. */
    FOUR_AND_TWO(new int[] {6, 8}, new int[] {4, 2}, 18, 1, 4, 6),
    /** {@link #FOUR_AND_TWO} where half of the heads reject streams for 8 s, each time with a back-off of 3 s. */
    HEADS_BACK_OFF(
            new int[] {6, 8},
            new int[] {4, 2},
            18,
            1,
            4,
            6,
            new UnavailabilitySchedule(20_000, 8_000, 0.5, 3_000, false, 0)),
    /** {@link #FOUR_AND_TWO} where a quarter of the heads report draining to the entries but not to the controller. */
    HEADS_DRAIN(
            new int[] {6, 8},
            new int[] {4, 2},
            18,
            1,
            4,
            6,
            new UnavailabilitySchedule(20_000, 8_000, 0.25, 0, true, 0)),
    /** {@link #FOUR_AND_TWO} where half of the heads report a rate limit of 2 requests/s for 8 s. */
    HEADS_RATE_LIMITED(
            new int[] {6, 8},
            new int[] {4, 2},
            18,
            1,
            4,
            6,
            new UnavailabilitySchedule(20_000, 8_000, 0.5, 0, false, 2)),
    /** Groups of 4 and 3 in domains of 9, with less spare capacity and twice the rate of losses. */
    FOUR_AND_THREE(new int[] {6, 9}, new int[] {4, 3}, 18, 0.95, 2, 6),
    /** Groups of 8 and 4 in domains of 19, on a fleet four times as large. */
    EIGHT_AND_FOUR(new int[] {9, 19}, new int[] {8, 4}, 18, 2.2, 2, 20),
    /** Groups of 16 and 4 in domains of 37, where one unreachable engine stalls a group of sixteen. */
    SIXTEEN_AND_FOUR(new int[] {6, 37}, new int[] {16, 4}, 21, 2.2, 2, 24);

    private static final int FAILURE_DOMAINS = 3;
    private static final double LOADS_PER_SECOND = 0.75;
    private static final long WARM_UP_MILLIS = 13_000;
    private static final long DURATION_MILLIS = 55_000;
    private static final long FAULTS_END_MILLIS = 34_000;
    private static final long OUTAGE_START_MILLIS = 11_000;
    private static final long OUTAGE_DURATION_MILLIS = 7_000;

    private final SimulationScenario scenario;

    /** {@code domains} holds the number of fabric domains and of engines in each; {@code sizes} the group size of each model. */
    LoadPattern(int[] domains, int[] sizes, int slots, double load, int lossSeconds, int loadsAtOnce) {
        this(domains, sizes, slots, load, lossSeconds, loadsAtOnce, UnavailabilitySchedule.NONE);
    }

    /** As above, with a schedule of unavailable heads. */
    LoadPattern(
            int[] domains,
            int[] sizes,
            int slots,
            double load,
            int lossSeconds,
            int loadsAtOnce,
            UnavailabilitySchedule unavailable) {
        EngineSpec spec = new EngineSpec(
                slots,
                List.of(
                        new EngineModel("large", sizes[0], 0.62, 1, 16, 1.6),
                        new EngineModel("small", sizes[1], 0.38, 0.6, 12, 1.1)),
                LOADS_PER_SECOND * loadsAtOnce,
                loadsAtOnce,
                2.5,
                300);
        List<RequestClass> requestClasses = List.of(
                new RequestClass("long", "large", 20.4 * load, 1_420, 134, 500, 300, 8_000, 3, 0.76),
                new RequestClass("short", "small", 59.5 * load, 674, 134, 300, 200, 6_000, 1.7, 0.41),
                new RequestClass("read", "large", 14.8 * load, 1_960, 23, 500, 300, 6_000, 1.9, 0.49));
        scenario = new SimulationScenario(
                FAILURE_DOMAINS,
                domains[0],
                domains[1],
                spec,
                new EngineTiming(6.07, 0.348, 46, 2_048),
                requestClasses,
                new FaultSchedule(
                        lossSeconds * 1_000L,
                        lossSeconds * 1_000L,
                        OUTAGE_START_MILLIS,
                        OUTAGE_DURATION_MILLIS,
                        FAULTS_END_MILLIS,
                        unavailable),
                WARM_UP_MILLIS,
                DURATION_MILLIS);
    }

    /**
     * Returns the scenario of this pattern.
     *
     * @return the deployment and its load
     */
    public SimulationScenario scenario() {
        return scenario;
    }
}
