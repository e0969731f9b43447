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

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;

import org.hallwall.serving.availability.SimulatedBackoffs.Fault;
import org.hallwall.serving.availability.SimulatedBackoffs.Policy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares backoff policies over many seeds; started manually: {@code mvn -pl serving -am test -Dtest=BackoffSimulationRuns
 * -Dsurefire.failIfNoSpecifiedTests=false -Drests.days=100}. All policies run on the same seeds, starting at 1.
 */
class BackoffSimulationRuns {

    @ParameterizedTest
    @CsvSource({"9, 12, 0.45", "9, 12, 0.8", "82, 60, 0.45", "82, 60, 0.8", "350, 116, 0.8"})
    void policies(int entries, int targets, double load) {
        java.util.logging.Logger.getLogger("org.hallwall").setLevel(Level.SEVERE);
        int days = Integer.getInteger("rests.days", 10);
        for (Fault fault : Fault.values()) {
            List<Double> before = new ArrayList<>();
            for (Policy policy : Policy.values()) {
                long arrivals = 0;
                long rejected = 0;
                List<Double> failed = new ArrayList<>();
                for (int seed = 1; seed <= days; seed++) {
                    SimulatedBackoffs s = new SimulatedBackoffs(entries, targets, load, policy, fault, seed).run();
                    arrivals += s.arrivals();
                    rejected += s.rejected();
                    failed.add(1 - (double) s.served() / s.requests());
                }
                System.out.printf(
                        Locale.ROOT,
                        "%d entries, %d targets, load %.2f, %-11s %-11s: %.2f %% of arrivals rejected, %.3f %% of requests failed%s%n",
                        entries,
                        targets,
                        load,
                        fault,
                        policy,
                        100.0 * rejected / arrivals,
                        100 * mean(failed),
                        before.isEmpty() ? "" : difference(before, failed));
                before = failed;
            }
        }
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(d -> d).average().orElse(0);
    }

    /** Formats the mean of the paired differences to the previous policy with its 95 % confidence interval. */
    private static String difference(List<Double> before, List<Double> after) {
        List<Double> d = new ArrayList<>();
        for (int i = 0; i < after.size(); i++) {
            d.add(100 * (after.get(i) - before.get(i)));
        }
        double mean = mean(d);
        double variance = d.stream().mapToDouble(x -> (x - mean) * (x - mean)).sum() / Math.max(1, d.size() - 1);
        return String.format(Locale.ROOT, " (%+.3f +-%.3f)", mean, 1.96 * Math.sqrt(variance / d.size()));
    }
}
