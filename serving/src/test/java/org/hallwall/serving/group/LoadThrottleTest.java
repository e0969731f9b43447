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
package org.hallwall.serving.group;

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the limits on the rate and the concurrency of loads. */
class LoadThrottleTest {

    private static final long WINDOW = 5_000;

    @ParameterizedTest
    @CsvSource({"4.5, 6, 1000", "4.5, 100, 10", "1, 3, 500", "0.5, 100, 100"})
    void theRateIsKeptInEveryWindow(double rate, int maxConcurrent, long loadMillis) {
        LoadThrottle throttle = new LoadThrottle();
        List<Long> starts = new ArrayList<>();
        List<InstanceId> running = new ArrayList<>();
        List<Long> ends = new ArrayList<>();
        for (long now = 0; now < 60_000; now += 50) {
            while (!ends.isEmpty() && ends.get(0) <= now) {
                ends.remove(0);
                throttle.release(running.remove(0));
            }
            InstanceId id = new InstanceId("i-" + now);
            if (throttle.tryStart(id, "m", rate, maxConcurrent, now)) {
                starts.add(now);
                running.add(id);
                ends.add(now + loadMillis);
            }
            Assertions.assertTrue(throttle.runningLoads().size() <= maxConcurrent);
        }
        for (long from : starts) {
            long inWindow =
                    starts.stream().filter(t -> t >= from && t <= from + WINDOW).count();
            Assertions.assertTrue(inWindow <= rate * WINDOW / 1_000, inWindow + " loads");
        }
        Assertions.assertFalse(starts.isEmpty());
    }

    /** After a takeover the loads of both controllers together stay within the store's rate. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 4.5, 20})
    void theRateIsKeptAcrossATakeover(double rate) {
        LoadThrottle previous = new LoadThrottle();
        LoadThrottle successor = new LoadThrottle();
        List<Long> starts = new ArrayList<>();
        for (long now = 0; now < 20_000; now += 50) {
            if (now == 10_000) {
                successor.recordTakeover(now);
            }
            LoadThrottle throttle = now < 10_000 ? previous : successor;
            while (throttle.tryStart(new InstanceId("e" + starts.size()), "m", rate, 1_000, now)) {
                starts.add(now);
            }
        }
        for (long from : starts) {
            long inWindow =
                    starts.stream().filter(s -> s >= from && s <= from + 5_000).count();
            Assertions.assertTrue(inWindow <= rate * 5 * 1.1 + 3, inWindow + " loads in 5 s from " + from);
        }
        long late = starts.stream().filter(s -> s > 15_000).count();
        Assertions.assertTrue(late >= Math.floor(rate * 5 * 0.8), "the full rate is used after one window");
    }
}
