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

/** Token bucket that allows debt, for costs that are only known afterwards. Thread-safe. */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokensPerSecond;
    private double capacity;
    private double tokens;
    private long lastRefillMillis;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond the refill rate
     * @param capacity the maximum number of tokens
     * @param now the current time in milliseconds
     */
    public TokenBucket(double tokensPerSecond, double capacity, long now) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.lastRefillMillis = now;
    }

    /**
     * Changes the rate and the capacity. Available tokens are kept up to the new capacity.
     *
     * @param newTokensPerSecond the new refill rate
     * @param newCapacity the new maximum number of tokens
     * @param now the current time in milliseconds
     */
    public synchronized void setRate(double newTokensPerSecond, double newCapacity, long now) {
        refill(now);
        tokensPerSecond = newTokensPerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Acquires one token.
     *
     * @param now the current time in milliseconds
     * @return false if no token is available
     */
    public synchronized boolean tryAcquire(long now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Returns whether the bucket has a positive balance.
     *
     * @param now the current time in milliseconds
     * @return false if it is empty or in debt
     */
    public synchronized boolean isPositive(long now) {
        refill(now);
        return tokens > 0;
    }

    /**
     * Charges tokens that have already been used. The balance may become negative.
     *
     * @param used the number of tokens
     * @param now the current time in milliseconds
     */
    public synchronized void charge(double used, long now) {
        refill(now);
        tokens -= used;
    }

    /**
     * Returns the time until a token is available.
     *
     * @param now the current time in milliseconds
     * @return the time; zero if a token is available
     */
    public synchronized Duration timeUntilNextToken(long now) {
        refill(now);
        double missing = Math.max(0, 1 - tokens);
        return Duration.ofMillis((long) Math.ceil(missing / tokensPerSecond * MILLIS_PER_SECOND));
    }

    private void refill(long now) {
        if (now > lastRefillMillis) {
            tokens = Math.min(capacity, tokens + (now - lastRefillMillis) / MILLIS_PER_SECOND * tokensPerSecond);
            lastRefillMillis = now;
        }
    }
}
