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
 * The outcomes of an experiment.
 *
 * @param experiment the experiment
 * @param outcomes the counted outcomes
 * @param open the requests without an outcome
 * @param ranTwice the requests that may run at most once and ran more than once, by the engines' accounts
 */
record LoadResult(LoadExperiment experiment, List<LoadOutcome> outcomes, int open, int ranTwice) {

    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    Map<String, Integer> counts() {
        Map<String, Integer> out = new TreeMap<>();
        for (LoadOutcome o : outcomes) {
            String name = o.verdict() == null ? o.kind() : o.kind() + " " + o.verdict();
            out.merge(name, 1, Integer::sum);
        }
        return out;
    }

    Summary summary() {
        Histogram first = new Histogram(DIGITS);
        Histogram gaps = new Histogram(DIGITS);
        Histogram whole = new Histogram(DIGITS);
        int answered = 0;
        for (LoadOutcome o : outcomes) {
            if (o.kind().equals(LoadOutcome.WHOLE)) {
                answered++;
                first.recordValue(o.firstTokenNanos());
                whole.recordValue(o.wholeNanos());
                o.gapsNanos().forEach(gaps::recordValue);
            }
        }
        return new Summary(
                experiment.name(),
                experiment.requestsPerSecond(),
                outcomes.size(),
                answered,
                open,
                ranTwice,
                counts(),
                Percentiles.of(first),
                Percentiles.of(gaps),
                Percentiles.of(whole));
    }

    /**
     * The figures of a report.
     *
     * @param name the name of the experiment
     * @param requestsPerSecond the rate of arrivals
     * @param requests the counted requests
     * @param whole those answered whole and with their own answer
     * @param open those without an outcome
     * @param ranTwice those that ran more often than they may
     * @param outcomes how many of each outcome
     * @param firstTokenMillis from when a request was due to its first token
     * @param gapMillis between batches of tokens
     * @param wholeMillis from when a request was due to its end
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
     * @param p95 the 95th
     * @param p99 the 99th
     * @param max the highest value
     */
    record Percentiles(double p50, double p95, double p99, double max) {

        static Percentiles of(Histogram h) {
            return new Percentiles(at(h, 50), at(h, 95), at(h, 99), h.getMaxValue() / NANOS_PER_MILLI);
        }

        private static double at(Histogram h, double percentile) {
            return Math.round(h.getValueAtPercentile(percentile) / NANOS_PER_MILLI * 100) / 100.0;
        }
    }
}
