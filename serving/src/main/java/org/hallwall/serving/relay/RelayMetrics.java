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

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of relayed requests. */
public final class RelayMetrics {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Counter responses;
    private final Counter attempts;
    private final Counter refusals;
    private final Counter requests;
    private final Counter sends;
    private final Counter retryDecisions;
    private final Counter heldBackRequests;
    private final Counter forwards;
    private final Counter incomplete;
    private final Histogram firstByte;

    /**
     * Registers the metrics.
     *
     * @param registry the registry
     */
    public RelayMetrics(PrometheusRegistry registry) {
        responses = Counter.builder()
                .name("hallwall_relay_answers")
                .help("Answers passed on whole, by status")
                .labelNames("status")
                .register(registry);
        attempts = Counter.builder()
                .name("hallwall_relay_attempts")
                .help("Attempts at targets, by outcome")
                .labelNames("outcome")
                .register(registry);
        refusals = Counter.builder()
                .name("hallwall_relay_refusals")
                .help("Requests that got no whole answer, by status")
                .labelNames("status")
                .register(registry);
        requests = Counter.builder()
                .name("hallwall_relay_requests")
                .help("Client requests that count for the retry budget, by service")
                .labelNames("service")
                .register(registry);
        sends = Counter.builder()
                .name("hallwall_relay_sends")
                .help(
                        "Requests sent to targets, by service and by whether they were sent before, with or without a charge")
                .labelNames("service", "turn")
                .register(registry);
        retryDecisions = Counter.builder()
                .name("hallwall_relay_resends")
                .help("Failed attempts, by service and by what became of the request")
                .labelNames("service", "decision")
                .register(registry);
        heldBackRequests = Counter.builder()
                .name("hallwall_relay_held_back")
                .help("Requests refused because targets have ended under them, by service")
                .labelNames("service")
                .register(registry);
        forwards = Counter.builder()
                .name("hallwall_relay_forwards")
                .help("Requests sent to or received from other entries, by direction")
                .labelNames("direction")
                .register(registry);
        incomplete = Counter.builder()
                .name("hallwall_relay_incomplete")
                .help("Requests whose connection was closed before a complete response, by cause")
                .labelNames("cause")
                .register(registry);
        firstByte = Histogram.builder()
                .name("hallwall_relay_first_seconds")
                .help("Time to the first byte of an answer")
                .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5)
                .register(registry);
    }

    void countResponse(int status) {
        responses.labelValues(Integer.toString(status)).inc();
    }

    void countAttempt(String outcome) {
        attempts.labelValues(outcome).inc();
    }

    void countRequest(String service) {
        requests.labelValues(service).inc();
    }

    void countSend(String service, SendKind kind) {
        sends.labelValues(service, kind.label()).inc();
    }

    void countRetryDecision(String service, RetryDecision decision) {
        retryDecisions.labelValues(service, decision.label()).inc();
    }

    void countHeldBack(String service) {
        heldBackRequests.labelValues(service).inc();
    }

    void countForward(boolean isSender) {
        forwards.labelValues(isSender ? "sent" : "received").inc();
    }

    void countRefusal(int status) {
        refusals.labelValues(Integer.toString(status)).inc();
    }

    void countIncomplete(String cause) {
        incomplete.labelValues(cause).inc();
    }

    void recordFirstByte(long millis) {
        firstByte.observe(millis / MILLIS_PER_SECOND);
    }
}
