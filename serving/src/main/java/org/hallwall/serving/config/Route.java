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
package org.hallwall.serving.config;

import java.util.List;

/**
 * A route: the requests that it matches and the services that they are sent to.
 *
 * @param name the route's name
 * @param host the host of the request
 * @param pathPrefix the prefix of the path, with a leading and a trailing slash
 * @param kind the retry semantics
 * @param timeoutMillis the request timeout, in milliseconds
 * @param latencyObjectiveMillis the latency objective, in milliseconds
 * @param priority the priority; zero is the highest
 * @param weightedServices the services with their weights
 * @param maxAttempts the maximum number of targets that a request is sent to
 * @param anonymous whether requests need no key
 * @param resumable whether streams can be resumed at another target
 * @param maxEventGapMillis the objective for the gap between events, in milliseconds; zero if the route has none
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        List<WeightedService> weightedServices,
        int maxAttempts,
        boolean anonymous,
        boolean resumable,
        long maxEventGapMillis) {

    /**
     * A service and its weight in a split.
     *
     * @param service the service's name
     * @param weight the weight; not negative
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Returns whether a request may be retried at another target.
     *
     * @return true if it may be executed more than once
     */
    public boolean isRetryable() {
        return kind.isRetryable(resumable);
    }

    /**
     * Selects a service by weight.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     * @return the service's name
     */
    public String selectService(double draw) {
        long totalWeight = 0;
        for (WeightedService s : weightedServices) {
            totalWeight += s.weight();
        }
        double remaining = draw * totalWeight;
        for (WeightedService s : weightedServices) {
            remaining -= s.weight();
            if (remaining < 0) {
                return s.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}
