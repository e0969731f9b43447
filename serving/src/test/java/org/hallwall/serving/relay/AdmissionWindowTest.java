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

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The window limits admitted streams and never falls below the equal share of the entry. */
class AdmissionWindowTest {

    private static final int SLOTS = 54;

    private static int admitted(AdmissionWindow w, int entries) {
        int out = 0;
        while (out < 1_000 && w.tryAcquire(SLOTS, entries)) {
            out++;
        }
        for (int i = 0; i < out; i++) {
            w.release();
        }
        return out;
    }

    @ParameterizedTest
    @CsvSource({"1, 216", "9, 24", "200, 2"})
    void initialWindowIsBounded(int entries, int expected) {
        Assertions.assertEquals(expected, admitted(new AdmissionWindow(), entries));
    }

    @Test
    void lateFirstEventsShrinkAndEarlyOnesGrowTheWindow() {
        AdmissionWindow w = new AdmissionWindow();
        for (int i = 0; i < 10; i++) {
            w.tryAcquire(SLOTS, 9);
        }
        w.recordFirstEvent(2.5, 1_000);
        w.recordFirstEvent(2.5, 1_001);
        Assertions.assertEquals(8.5, w.window(), 0.01);
        for (int i = 0; i < 40; i++) {
            w.recordFirstEvent(0.3, 2_000);
        }
        Assertions.assertTrue(w.window() > 10);
    }

    @Test
    void windowNeverFallsBelowTheEqualShare() {
        AdmissionWindow w = new AdmissionWindow();
        for (int i = 0; i < 50; i++) {
            w.tryAcquire(SLOTS, 9);
            w.recordFirstEvent(5, i * 1_000L);
        }
        while (w.tryAcquire(SLOTS, 9)) {
            continue;
        }
        Assertions.assertTrue(w.window() >= SLOTS / 9.0);
    }
}
