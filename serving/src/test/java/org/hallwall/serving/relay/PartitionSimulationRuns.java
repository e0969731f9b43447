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

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** More seeds of {@link PartitionSimulationTest}, run by hand: {@code mvn test -pl serving -am -Dtest=PartitionSimulationRuns}. */
class PartitionSimulationRuns {

    @ParameterizedTest
    @CsvSource({"9, 500, 100", "82, 20, 10", "350, 2, 1"})
    void callersAreServed(int entries, int seeds, int printed) {
        for (SimulatedPartitions.Loss loss : SimulatedPartitions.Loss.values()) {
            for (int seed = 1; seed <= seeds; seed++) {
                double cutShare = 0.1 + 0.8 * (seed % 10) / 10;
                String figures = PartitionSimulationTest.play(seed, entries, cutShare, loss, seed % 2 == 0);
                if (seed % printed == 0) {
                    System.out.println(figures);
                }
            }
        }
    }
}
