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
 * Computes Retry-After while an entry has no configuration. Clients retry once, so a retry before the control instances
 * have started and elected a leader would fail the request.
 */
final class StartupRetryDelay {

    /**
     * Usual time between the start of an entry and its first configuration, in milliseconds, if all instances start
     * together.
     */
    private static final long USUAL_STARTUP_MILLIS = 1_900;
    /** Minimum delay of a retry, in milliseconds. */
    private static final long MIN_DELAY_MILLIS = 300;
    /** Jitter of the delay, in milliseconds; heads announce themselves within a heartbeat interval of 1.2 s. */
    private static final double JITTER_MILLIS = 1_000;

    private final Ticker ticker;
    private final DoubleSupplier random;
    private final long startedAt;

    /**
     * Starts the clock of the startup.
     *
     * @param ticker the clock
     * @param random the source of random numbers in [0, 1)
     */
    StartupRetryDelay(Ticker ticker, DoubleSupplier random) {
        this.ticker = ticker;
        this.random = random;
        this.startedAt = ticker.millis();
    }

    /** Returns the delay after which a client should retry, in milliseconds. */
    long retryAfterMillis() {
        long remainingMillis = startedAt + USUAL_STARTUP_MILLIS - ticker.millis();
        return Math.max(MIN_DELAY_MILLIS, remainingMillis) + (long) (random.getAsDouble() * JITTER_MILLIS);
    }
}
