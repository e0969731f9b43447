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
package org.hallwall.entry.limit;

import java.time.Duration;

/** A token bucket. Safe for use by several threads. */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double perSecond;
    private double most;
    private double tokens;
    private long filledAt;

    /**
     * Creates a full bucket.
     *
     * @param perSecond how many tokens come in a second
     * @param most how many it holds
     * @param now the clock
     */
    public TokenBucket(double perSecond, double most, long now) {
        this.perSecond = perSecond;
        this.most = most;
        this.tokens = most;
        this.filledAt = now;
    }

    /**
     * Changes the rate; the tokens held stay.
     *
     * @param newPerSecond how many tokens come in a second
     * @param newMost how many it holds
     * @param now the clock
     */
    public synchronized void setRate(double newPerSecond, double newMost, long now) {
        fill(now);
        perSecond = newPerSecond;
        most = newMost;
        tokens = Math.min(tokens, most);
    }

    /**
     * Takes one token.
     *
     * @param now the clock
     * @return false if there is none
     */
    public synchronized boolean take(long now) {
        fill(now);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Says whether the bucket is not in debt.
     *
     * @param now the clock
     * @return true if it holds more than nothing
     */
    public synchronized boolean isPositive(long now) {
        fill(now);
        return tokens > 0;
    }

    /**
     * Takes tokens that were used already; the bucket may go into debt.
     *
     * @param used how many
     * @param now the clock
     */
    public synchronized void spend(double used, long now) {
        fill(now);
        tokens -= used;
    }

    /**
     * Says how long it takes until the bucket holds a token.
     *
     * @param now the clock
     * @return the time
     */
    public synchronized Duration untilNext(long now) {
        fill(now);
        double missing = Math.max(0, 1 - tokens);
        return Duration.ofMillis((long) Math.ceil(missing / perSecond * MILLIS_PER_SECOND));
    }

    private void fill(long now) {
        if (now > filledAt) {
            tokens = Math.min(most, tokens + (now - filledAt) / MILLIS_PER_SECOND * perSecond);
            filledAt = now;
        }
    }
}
