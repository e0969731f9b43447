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

import org.hallwall.serving.permit.RateLimit;

/**
 * What a response declares about its target, independent of the result of the request.
 *
 * @param backoffMillis the requested backoff time in milliseconds; zero for none
 * @param isDraining whether the target is about to shut down
 * @param limit the declared rate limit; null if there is none or it is malformed
 * @param malformed malformed values, truncated; null if there are none
 */
public record TargetNotice(long backoffMillis, boolean isDraining, RateLimit limit, String malformed) {

    /** An empty notice. */
    public static final TargetNotice NONE = new TargetNotice(0, false, null, null);

    /**
     * Creates the notice of a target that requests a backoff.
     *
     * @param millis the backoff time in milliseconds
     * @return the notice
     */
    public static TargetNotice backoff(long millis) {
        return new TargetNotice(millis, false, null, null);
    }

    /**
     * Creates the notice of a draining target.
     *
     * @return the notice
     */
    public static TargetNotice draining() {
        return new TargetNotice(0, true, null, null);
    }

    /**
     * Creates the notice of a target with a rate limit.
     *
     * @param limit the limit
     * @return the notice
     */
    public static TargetNotice limited(RateLimit limit) {
        return new TargetNotice(0, false, limit, null);
    }

    /**
     * Describes the notice, for logs.
     *
     * @return a suffix for a log line; empty if the notice is empty
     */
    public String describe() {
        return (backoffMillis > 0 ? ", backs off for " + backoffMillis + " ms" : "")
                + (isDraining ? ", draining" : "")
                + (limit != null ? ", names a rate limit of " + limit : "")
                + (malformed != null ? ", malformed: " + malformed : "");
    }
}
