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
package org.hallwall.core.time;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Verifies that a value is retained for one window and dropped after two. */
class RecentMaximumTest {

    private static final long WINDOW_MILLIS = 1_000;

    @ParameterizedTest
    @CsvSource({
        // time of recording 9, time of recording 4 and reading, expected maximum
        "0, 0, 9",
        "0, 1000, 9",
        "0, 1999, 9",
        "0, 2000, 4",
        "0, 50000, 4",
        "900, 1900, 9",
        "900, 2000, 4",
        "1500, 2500, 9"
    })
    void valueExpiresBetweenOneAndTwoWindows(long recordedAt, long readAt, int expected) {
        AtomicLong now = new AtomicLong();
        RecentMaximum p = new RecentMaximum(WINDOW_MILLIS, now::get);
        Assertions.assertEquals(0, p.max());
        now.set(recordedAt);
        p.record(9);
        now.set(readAt);
        p.record(4);
        Assertions.assertEquals(expected, p.max());
    }
}
