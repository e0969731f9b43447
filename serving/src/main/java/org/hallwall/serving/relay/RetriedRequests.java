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
 * Recognises requests that were refused before and are retried: their caller has less time left than a first attempt has. Used on
 * the I/O thread only.
 */
final class RetriedRequests {

    /** A request with less than this part of the usual time has been here or at another entry before. */
    private static final double USUAL_PART = 0.97;

    private final Map<String, Long> longest = new HashMap<>();

    /**
     * Judges a request.
     *
     * @param route its route
     * @param timeMillis the time that its caller has left
     * @return true if it is likely a retry
     */
    boolean isRetry(Route route, long timeMillis) {
        long most = longest.merge(route.name(), timeMillis, Math::max);
        // a few callers are more patient than others; what the route allows is the usual time then
        return timeMillis < Math.min(most, route.timeoutMillis()) * USUAL_PART;
    }
}
