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

import org.hallwall.serving.availability.SimulatedBackoffs.Policy;
import org.hallwall.serving.availability.SimulatedBackoffs.Trouble;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The load of a fleet of which half turns away and backs off: what is sound has room for all, at under half of its slots. What a
 * target has asked for is kept whatever it costs; as long as there is room elsewhere it costs callers nothing.
 */
class BackoffSimulationTest {

    /** Of ten thousand requests at nine entries none should go unserved while half of the targets are sound. */
    private static final double UNSERVED = 0.0001;

    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4", "5"})
    void soundTargetsServeWhileOthersBackOff(long seed) {
        SimulatedBackoffs s = new SimulatedBackoffs(9, 12, 0.45, Policy.OBEYED, Trouble.HALF_UNWELL, seed).run();
        Assertions.assertEquals(0, s.whileBackingOff());
        double unserved = 1 - (double) s.served() / s.requests();
        Assertions.assertTrue(unserved <= UNSERVED, () -> unserved + " of all requests were not served");
    }

    @ParameterizedTest
    @CsvSource({"ALL_UNWELL, 0.45", "ALL_UNWELL, 0.8", "HALF_UNWELL, 0.8", "CROWD, 0.8"})
    void nobodyIsAskedWhileItBacksOff(Trouble trouble, double load) {
        SimulatedBackoffs s = new SimulatedBackoffs(9, 12, load, Policy.OBEYED, trouble, 1).run();
        Assertions.assertTrue(s.turnedAway() > 0);
        Assertions.assertEquals(0, s.whileBackingOff());
    }
}
