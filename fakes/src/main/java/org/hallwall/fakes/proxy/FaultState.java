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
package org.hallwall.fakes.proxy;

import java.util.EnumSet;
import java.util.Set;

/** The active faults of a proxy. Thread-safe. */
final class FaultState {

    private final Set<FaultDirection> blocked = EnumSet.noneOf(FaultDirection.class);
    private long delayMillis;

    synchronized void setDelay(long millis) {
        delayMillis = millis;
    }

    synchronized void setBlocked(FaultDirection direction, boolean isBlocked) {
        if (isBlocked) {
            blocked.add(direction);
        } else {
            blocked.remove(direction);
        }
        notifyAll();
    }

    /** Blocks until the direction is open, then for the configured delay. */
    void awaitUnblocked(FaultDirection direction) throws InterruptedException {
        long delay = awaitDirectionUnblocked(direction);
        if (delay > 0) {
            Thread.sleep(delay);
        }
    }

    private synchronized long awaitDirectionUnblocked(FaultDirection direction) throws InterruptedException {
        while (blocked.contains(direction)) {
            wait();
        }
        return delayMillis;
    }
}
