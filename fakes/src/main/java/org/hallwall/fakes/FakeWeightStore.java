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
package org.hallwall.fakes;

import java.util.Arrays;

/** The weight store of a process, with a bounded number of concurrent loads. Thread-safe. */
final class FakeWeightStore {

    private final long[] slotFreeMillis;

    FakeWeightStore(int loadsAtOnce) {
        slotFreeMillis = new long[loadsAtOnce];
    }

    /** Reserves the next free slot for a load and returns the completion time. */
    synchronized long reserve(long now, long millis) {
        Arrays.sort(slotFreeMillis);
        slotFreeMillis[0] = Math.max(now, slotFreeMillis[0]) + millis;
        return Math.max(1, slotFreeMillis[0]);
    }
}
