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

import java.util.HashMap;
import java.util.Map;

import org.hallwall.serving.config.Route;

/**
 * Detects retries of refused requests by their shorter remaining time. Confined to the I/O thread.
 */
final class RetryDetector {

    /** Fraction of the usual time below which a request counts as a retry. */
    private static final double RETRY_FRACTION = 0.97;

    private final Map<String, Long> longestTimeouts = new HashMap<>();

    /**
     * Returns whether a request is likely a retry.
     *
     * @param route the route of the request
     * @param timeMillis the remaining time of the client, in milliseconds
     * @return true if it is likely a retry
     */
    boolean isRetry(Route route, long timeMillis) {
        long longestMillis = longestTimeouts.merge(route.name(), timeMillis, Math::max);
        // clients with longer timeouts count with the timeout of the route
        return timeMillis < Math.min(longestMillis, route.timeoutMillis()) * RETRY_FRACTION;
    }
}
