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

/** Metrics of the request path. */
public final class RelayMetrics {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Counter framesRelayed;
    private final Counter framesDropped;
    private final Counter resumes;
    private final Counter retries;
    private final Counter requestsAnswered;
    private final Counter requestsRefused;
    private final Histogram firstTokenSeconds;

    /**
     * Registers the metrics.
     *
     * @param registry the registry
     */
    public RelayMetrics(PrometheusRegistry registry) {
        framesRelayed = counter(registry, "hallwall_frames_relayed", "Frames relayed to callers");
        framesDropped = Counter.builder()
                .name("hallwall_frames_dropped")
                .help("Frames dropped, by reason")
                .labelNames("reason")
                .register(registry);
        resumes = counter(registry, "hallwall_runs_resumed", "Runs that went on after their connection broke");
        retries = counter(registry, "hallwall_requests_retried", "Requests dispatched again after a failed attempt");
        requestsAnswered = counter(registry, "hallwall_requests_answered", "Requests answered whole");
        requestsRefused = Counter.builder()
                .name("hallwall_requests_refused")
                .help("Requests refused, by type and verdict")
                .labelNames("type", "verdict")
                .register(registry);
        firstTokenSeconds = Histogram.builder()
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
     * @param count the number of frames
     */
    public void countRelayedFrames(int count) {
        framesRelayed.inc(count);
    }

    /** Counts a frame that was dropped because it belongs to another attempt. */
    public void countForeignFrame() {
        framesDropped.labelValues("foreign").inc();
    }

    /** Counts a frame that was dropped as a duplicate. */
    public void countDuplicateFrame() {
        framesDropped.labelValues("doubled").inc();
    }

    /** Counts an attempt to resume a run on a new connection. */
    public void countResume() {
        resumes.inc();
    }

    /** Counts a retry. */
    public void countRetry() {
        retries.inc();
    }

    /** Counts a completely answered request. */
    public void countAnswer() {
        requestsAnswered.inc();
    }

    /**
     * Counts a refused request.
     *
     * @param type the type of the problem
     * @param verdict the verdict on the request
     */
    public void countRefusal(ProblemType type, Verdict verdict) {
        requestsRefused.labelValues(type.slug(), verdict.name()).inc();
    }

    /**
     * Records the time from the arrival of a request to its first frame.
     *
     * @param millis the time in milliseconds
     */
    public void observeFirstToken(long millis) {
        firstTokenSeconds.observe(millis / MILLIS_PER_SECOND);
    }
}
