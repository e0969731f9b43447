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

import org.hallwall.core.id.InstanceId;

/** Enforces the rate limits of targets. */
public interface RateLimiter {

    /** A limiter that ignores all limits. */
    RateLimiter UNLIMITED = new RateLimiter() {
        @Override
        public void applyStatement(InstanceId target, LimitStatement statement) {
            // nothing is limited
        }

        @Override
        public boolean isLimited(InstanceId target) {
            return false;
        }

        @Override
        public boolean hasPermit(InstanceId target) {
            return true;
        }

        @Override
        public boolean tryAcquire(InstanceId target) {
            return true;
        }

        @Override
        public long retryMillis(InstanceId target) {
            return 0;
        }
    };

    /**
     * Applies a target's declaration of its limit.
     *
     * @param target the target's start
     * @param statement the declaration
     */
    void applyStatement(InstanceId target, LimitStatement statement);

    /**
     * Returns whether a target has a rate limit.
     *
     * @param target the target's start
     * @return true if it has a limit
     */
    boolean isLimited(InstanceId target);

    /**
     * Returns whether a permit is available.
     *
     * @param target the target's start
     * @return true if a permit is available or none is needed
     */
    boolean hasPermit(InstanceId target);

    /**
     * Uses a permit.
     *
     * @param target the target's start
     * @return true if a permit was available or none is needed
     */
    boolean tryAcquire(InstanceId target);

    /**
     * Returns the time until a permit may be available.
     *
     * @param target the target's start
     * @return the time in milliseconds; zero if a permit is available or none is needed
     */
    long retryMillis(InstanceId target);
}
