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
package org.hallwall.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;

import org.apache.commons.statistics.distribution.TDistribution;
import org.hallwall.serving.decision.Mechanisms;

/**
 * A paired comparison of two policies on the same seeds.
 *
 * @param runs the number of simulation runs per policy
 * @param mean the mean worth under the first policy
 * @param difference the mean worth of the second policy minus that of the first
 * @param halfWidth half of the width of the 95% confidence interval of the difference
 */
public record PolicyComparison(int runs, double mean, double difference, double halfWidth) {

    private static final double QUANTILE = 0.975;

    /**
     * Compares two policies.
     *
     * @param scenario the deployment and its load
     * @param first the baseline policy
     * @param second the policy to compare with it
     * @param seeds the number of simulation runs per policy
     * @return the comparison
     */
    public static PolicyComparison compare(
            SimulationScenario scenario, Mechanisms first, Mechanisms second, int seeds) {
        List<double[]> pairs = new ArrayList<>(LongStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> new double[] {
                    SimulationRun.run(scenario, first, seed).worth(),
                    SimulationRun.run(scenario, second, seed).worth()
                })
                .toList());
        double mean = pairs.stream().mapToDouble(p -> p[0]).average().orElse(0);
        double difference =
                pairs.stream().mapToDouble(p -> p[1] - p[0]).average().orElse(0);
        double squares = pairs.stream()
                .mapToDouble(p -> Math.pow(p[1] - p[0] - difference, 2))
                .sum();
        double error = Math.sqrt(squares / (seeds - 1) / seeds);
        return new PolicyComparison(
                seeds, mean, difference, error * TDistribution.of(seeds - 1).inverseCumulativeProbability(QUANTILE));
    }

    /** Returns the result as one line of text. */
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f %+.3f ±%.3f (%d runs)", mean, difference, halfWidth, runs);
    }
}
