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

/**
 * Engine faults of a simulation run. Intervals are drawn uniformly between 0.5 and 1.5 times their mean.
 *
 * @param meanLossIntervalMillis the mean time between losses of a group member; zero disables losses
 * @param meanAdditionIntervalMillis the mean time between additions of an engine without weights; zero disables additions
 * @param outageStartMillis when a whole fabric domain becomes unreachable; negative disables the outage
 * @param outageDurationMillis how long the outage lasts
 * @param endMillis the time after which no engine is lost or added
 * @param unavailable when group heads back off, drain or report a rate limit
 */
public record FaultSchedule(
        long meanLossIntervalMillis,
        long meanAdditionIntervalMillis,
        long outageStartMillis,
        long outageDurationMillis,
        long endMillis,
        UnavailabilitySchedule unavailable) {

    /** No faults. */
    public static final FaultSchedule NONE = new FaultSchedule(0, 0, -1, 0, 0, UnavailabilitySchedule.NONE);
}
