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
package org.hallwall.entry.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.Verdict;

/** The counters of the request path. */
public final class RelayCounters {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Counter frames;
    private final Counter dropped;
    private final Counter resumes;
    private final Counter retries;
    private final Counter whole;
    private final Counter refused;
    private final Histogram firstToken;

    /**
     * Registers the counters.
     *
     * @param registry where to register them
     */
    public RelayCounters(PrometheusRegistry registry) {
        frames = counter(registry, "hallwall_frames_relayed", "Frames relayed to callers");
        dropped = Counter.builder()
                .name("hallwall_frames_dropped")
                .help("Frames dropped, by reason")
                .labelNames("reason")
                .register(registry);
        resumes = counter(registry, "hallwall_runs_resumed", "Runs that went on after their connection broke");
        retries = counter(registry, "hallwall_requests_retried", "Requests dispatched again after a failed attempt");
        whole = counter(registry, "hallwall_requests_answered", "Requests answered whole");
        refused = Counter.builder()
                .name("hallwall_requests_refused")
                .help("Requests refused, by type and verdict")
                .labelNames("type", "verdict")
                .register(registry);
        firstToken = Histogram.builder()
                .name("hallwall_first_token_seconds")
                .help("Time from the arrival of a request to its first frame")
                .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10)
                .classicOnly()
                .register(registry);
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help) {
        return Counter.builder().name(name).help(help).register(registry);
    }

    /**
     * Counts relayed frames.
     *
     * @param n how many
     */
    public void relayed(int n) {
        frames.inc(n);
    }

    /**
     * Counts a frame of another attempt.
     */
    public void droppedForeign() {
        dropped.labelValues("foreign").inc();
    }

    /**
     * Counts a frame that came twice.
     */
    public void droppedDoubled() {
        dropped.labelValues("doubled").inc();
    }

    /** Counts a resumed run. */
    public void resumed() {
        resumes.inc();
    }

    /** Counts a retry. */
    public void retried() {
        retries.inc();
    }

    /** Counts a request that was answered whole. */
    public void answered() {
        whole.inc();
    }

    /**
     * Counts a refusal.
     *
     * @param type its type
     * @param verdict its verdict
     */
    public void refused(ProblemType type, Verdict verdict) {
        refused.labelValues(type.slug(), verdict.name()).inc();
    }

    /**
     * Notes the time to a first frame.
     *
     * @param millis the time
     */
    public void firstToken(long millis) {
        firstToken.observe(millis / MILLIS_PER_SECOND);
    }
}
