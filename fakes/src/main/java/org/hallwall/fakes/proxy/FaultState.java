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

/** The faults that are switched on at a proxy. Safe for use by several threads. */
final class FaultState {

    private final Set<FaultDirection> cut = EnumSet.noneOf(FaultDirection.class);
    private long delayMillis;

    synchronized void delay(long millis) {
        delayMillis = millis;
    }

    synchronized void cut(FaultDirection direction, boolean on) {
        if (on) {
            cut.add(direction);
        } else {
            cut.remove(direction);
        }
        notifyAll();
    }

    /** Waits until bytes of a direction may pass. */
    void awaitPassage(FaultDirection direction) throws InterruptedException {
        long delay = awaitUncut(direction);
        if (delay > 0) {
            Thread.sleep(delay);
        }
    }

    private synchronized long awaitUncut(FaultDirection direction) throws InterruptedException {
        while (cut.contains(direction)) {
            wait();
        }
        return delayMillis;
    }
}
