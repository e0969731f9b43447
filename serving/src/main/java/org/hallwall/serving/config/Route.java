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
 * One route: which requests it takes and where they go.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix the prefix of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis the longest time a request is held, in milliseconds
 * @param objectiveMillis the latency objective, in milliseconds
 * @param priority the rank; zero is the highest
 * @param split the services with their weights
 * @param attempts the most targets that one request may be sent to
 * @param anonymous whether no key is needed
 * @param resumable whether streams can be resumed at another target
 * @param pauseMillis the longest pause between events that is in time, in milliseconds; zero if the route has none
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<WeightedService> split,
        int attempts,
        boolean anonymous,
        boolean resumable,
        long pauseMillis) {

    /**
     * A service with its weight in a split.
     *
     * @param service the service's name
     * @param weight the weight; not negative
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Says whether a request may run on a second target.
     *
     * @return true if another run breaks no promise
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Draws a service by weight.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive)
     * @return the service's name
     */
    public String service(double draw) {
        long sum = 0;
        for (WeightedService s : split) {
            sum += s.weight();
        }
        double left = draw * sum;
        for (WeightedService s : split) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return split.get(split.size() - 1).service();
    }
}
