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

import java.util.function.DoubleSupplier;

import org.hallwall.core.time.Ticker;

/**
 * Tells callers when to retry at an entry that knows no configuration yet. A caller retries once, so an early return costs
 * the request: after a loss of all power entries listen some two seconds before the control instances have started and elected.
 */
final class FirstConfiguration {

    /** How long after it listens an entry usually knows its configuration, in milliseconds, when all instances start together. */
    private static final long USUAL_MILLIS = 1_900;
    /** The shortest time after which callers retry, in milliseconds. */
    private static final long LEAST_MILLIS = 300;
    /** The time over which returns are spread, in milliseconds: heads announce themselves within a heartbeat of 1.2 s. */
    private static final double SPREAD_MILLIS = 1_000;

    private final Ticker ticker;
    private final DoubleSupplier random;
    private final long listensSince;

    /**
     * Notes that an entry begins to listen.
     *
     * @param ticker the clock
     * @param random draws from zero to one
     */
    FirstConfiguration(Ticker ticker, DoubleSupplier random) {
        this.ticker = ticker;
        this.random = random;
        this.listensSince = ticker.millis();
    }

    /** Gives the time after which a caller should retry, in milliseconds. */
    long retryAfterMillis() {
        long left = listensSince + USUAL_MILLIS - ticker.millis();
        return Math.max(LEAST_MILLIS, left) + (long) (random.getAsDouble() * SPREAD_MILLIS);
    }
}
