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

import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * More seeds of {@link ForwardSimulationTest}, and the other ways to lend runs, run by hand:
 * {@code mvn test -pl serving -am -Dtest=ForwardSimulationRuns}.
 */
class ForwardSimulationRuns {

    private static final List<SimulatedForwards.Lending> BOUNDED =
            List.of(SimulatedForwards.Lending.ONE_RUN, SimulatedForwards.Lending.ALL_RUNS);
    private static final double[] CUT_SHARES = {0.1, 0.5, 0.99};
    private static final double[] ERROR_RATES = {0, 0.14, 0.5};
    private static final double[] LOST_ENTRY_LINKS = {0, 0.3};

    @ParameterizedTest
    @CsvSource({"9, 56", "82, 4", "350, 1"})
    void boundsHoldOverAllEntries(int entries, int seeds) {
        for (SimulatedForwards.Lending lending : BOUNDED) {
            for (double errorRate : ERROR_RATES) {
                for (double lostLinks : LOST_ENTRY_LINKS) {
                    for (double cutShare : CUT_SHARES) {
                        System.out.println(play(entries, seeds, cutShare, errorRate, lostLinks, lending));
                    }
                }
            }
        }
    }

    private static String play(
            int entries,
            int seeds,
            double cutShare,
            double errorRate,
            double lostLinks,
            SimulatedForwards.Lending lending) {
        DoubleSummaryStatistics runs = new DoubleSummaryStatistics();
        DoubleSummaryStatistics atCut = new DoubleSummaryStatistics();
        DoubleSummaryStatistics atOthers = new DoubleSummaryStatistics();
        DoubleSummaryStatistics retries = new DoubleSummaryStatistics();
        for (int seed = 1000; seed < 1000 + seeds; seed++) {
            SimulatedForwards s = new SimulatedForwards(
                            seed,
                            entries,
                            new SimulatedForwards.Faults(cutShare, errorRate, lostLinks, seed % 2 == 0),
                            lending)
                    .run();
            runs.accept(s.mostRuns());
            atCut.accept(s.servedShare(true));
            atOthers.accept(s.servedShare(false));
            retries.accept(s.worstRetryWindow());
            Assertions.assertTrue(s.mostRuns() <= 1, () -> "seed " + s.describe());
            Assertions.assertTrue(s.worstRetryWindow() <= 1, () -> "seed " + s.describe());
        }
        return String.format(
                Locale.ROOT,
                "FIGURES %d entries, %d seeds, %s, cut %.2f, errors %.2f, lost links %.1f: most runs %.2f, served %.3f cut %.3f others, retries %.2f",
                entries,
                seeds,
                lending,
                cutShare,
                errorRate,
                lostLinks,
                runs.getMax(),
                atCut.getAverage(),
                atOthers.getAverage(),
                retries.getMax());
    }
}
