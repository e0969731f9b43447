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
 * A period in which group heads back off, drain or report a rate limit.
 *
 * @param startMillis when it starts, relative to the end of the warm-up
 * @param durationMillis how long it lasts; zero disables it
 * @param fraction the fraction of engines that are affected while they are heads
 * @param backoffMillis the back-off that a head reports when it rejects a stream
 * @param draining whether affected heads accept streams and report draining instead of rejecting
 * @param rateLimitPerSecond the rate limit that affected heads report, in requests per second; zero for none
 */
public record UnavailabilitySchedule(
        long startMillis,
        long durationMillis,
        double fraction,
        long backoffMillis,
        boolean draining,
        double rateLimitPerSecond) {

    /** All heads are always available. */
    public static final UnavailabilitySchedule NONE = new UnavailabilitySchedule(0, 0, 0, 0, false, 0);
}
