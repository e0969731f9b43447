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
package org.hallwall.serving.availability;

/** The backoff and draining state of one start of a target; guarded by {@link TargetAvailability}. */
final class TargetCondition {

    private boolean draining;
    private long backoffUntil;

    void markDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Extends the backoff; an earlier end has no effect. */
    void extendBackoff(long until) {
        backoffUntil = Math.max(backoffUntil, until);
    }

    boolean isBackingOff(long now) {
        return now < backoffUntil;
    }

    boolean isAvailable(long now) {
        return !draining && !isBackingOff(now);
    }

    /** Returns the remaining backoff time in milliseconds. */
    long backoffMillis(long now) {
        return Math.max(0, backoffUntil - now);
    }
}
