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
package org.hallwall.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * The result of an experiment.
 *
 * @param experiment the experiment
 * @param outcomes the counted outcomes
 * @param unfinished the number of requests without an outcome
 * @param duplicateRuns the number of non-repeatable requests that the engines ran more than once
 */
record LoadResult(LoadExperiment experiment, List<LoadOutcome> outcomes, int unfinished, int duplicateRuns) {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    Map<String, Integer> countsByOutcome() {
        Map<String, Integer> out = new TreeMap<>();
        for (LoadOutcome o : outcomes) {
            String name = o.verdict() == null ? o.kind() : o.kind() + " " + o.verdict();
            out.merge(name, 1, Integer::sum);
        }
        return out;
    }

    Summary summary() {
        Histogram first = new Histogram(SIGNIFICANT_DIGITS);
        Histogram gaps = new Histogram(SIGNIFICANT_DIGITS);
        Histogram whole = new Histogram(SIGNIFICANT_DIGITS);
        int answered = 0;
        for (LoadOutcome o : outcomes) {
            if (o.kind().equals(LoadOutcome.WHOLE)) {
                answered++;
                first.recordValue(o.firstTokenNanos());
                whole.recordValue(o.totalNanos());
                o.gapsNanos().forEach(gaps::recordValue);
            }
        }
        return new Summary(
                experiment.name(),
                experiment.requestsPerSecond(),
                outcomes.size(),
                answered,
                unfinished,
                duplicateRuns,
                countsByOutcome(),
                Percentiles.of(first),
                Percentiles.of(gaps),
                Percentiles.of(whole));
    }

    /**
     * The summary of a report.
     *
     * @param name the name of the experiment
     * @param requestsPerSecond the arrival rate
     * @param requests the number of counted requests
     * @param whole the number of complete and correct responses
     * @param open the number of requests without an outcome
     * @param ranTwice the number of non-repeatable requests that ran more than once
     * @param outcomes the number of requests by outcome
     * @param firstTokenMillis time to first token, from the scheduled arrival
     * @param gapMillis time between chunks
     * @param wholeMillis total response time, from the scheduled arrival
     */
    record Summary(
            String name,
            double requestsPerSecond,
            int requests,
            int whole,
            int open,
            int ranTwice,
            Map<String, Integer> outcomes,
            Percentiles firstTokenMillis,
            Percentiles gapMillis,
            Percentiles wholeMillis) {}

    /**
     * The percentiles of a histogram.
     *
     * @param p50 the median
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     * @param max the maximum
     */
    record Percentiles(double p50, double p95, double p99, double max) {

        static Percentiles of(Histogram h) {
            return new Percentiles(
                    millisAt(h, 50), millisAt(h, 95), millisAt(h, 99), h.getMaxValue() / NANOS_PER_MILLI);
        }

        private static double millisAt(Histogram h, double percentile) {
            return Math.round(h.getValueAtPercentile(percentile) / NANOS_PER_MILLI * 100) / 100.0;
        }
    }
}
