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
 * What an answer says of its target, whatever it says of the request.
 *
 * @param backoffMillis for how long the target backs off, in milliseconds; zero if it does not say so
 * @param isDraining whether the target is about to end
 * @param limit the rate limit that it names; null if it names none that can be read
 * @param unread what was said and not understood, cut short; null if there is nothing of that kind
 */
public record TargetNotice(long backoffMillis, boolean isDraining, RateLimit limit, String unread) {

    /** Nothing is said. */
    public static final TargetNotice NONE = new TargetNotice(0, false, null, null);

    /**
     * Creates the notice of a target that backs off.
     *
     * @param millis for how long, in milliseconds
     * @return the notice
     */
    public static TargetNotice backoff(long millis) {
        return new TargetNotice(millis, false, null, null);
    }

    /**
     * Creates the notice of a target that is about to end.
     *
     * @return the notice
     */
    public static TargetNotice draining() {
        return new TargetNotice(0, true, null, null);
    }

    /**
     * Creates the notice of a target that names a rate limit.
     *
     * @param limit the limit
     * @return the notice
     */
    public static TargetNotice limited(RateLimit limit) {
        return new TargetNotice(0, false, limit, null);
    }

    /**
     * Tells it for logs.
     *
     * @return text to go behind others; empty if nothing is said
     */
    public String describe() {
        return (backoffMillis > 0 ? ", backs off for " + backoffMillis + " ms" : "")
                + (isDraining ? ", draining" : "")
                + (limit != null ? ", names a rate limit of " + limit : "")
                + (unread != null ? ", says " + unread : "");
    }
}
