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
 * A time in which heads of groups back off, drain or name a rate limit.
 *
 * @param atMillis when it begins, from the first caller on
 * @param forMillis for how long it lasts; zero for never
 * @param part which part of all engines it strikes, when they are heads
 * @param backoffMillis for how long a head that turns a stream away backs off
 * @param draining whether they take what comes and say that they drain, instead of turning it away
 * @param perSecond the rate limit that they name instead, in requests a second; zero for none
 */
public record UnavailableTrouble(
        long atMillis, long forMillis, double part, long backoffMillis, boolean draining, double perSecond) {

    /** All are available at all times. */
    public static final UnavailableTrouble NONE = new UnavailableTrouble(0, 0, 0, 0, false, 0);
}
