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

import java.util.List;
import java.util.regex.Pattern;

/**
 * The backoff time that a target requests by {@code Retry-After}: decimal seconds. HTTP dates are not supported, since clock skew between
 * instances exceeds typical backoff times.
 */
final class RetryAfterHeader {

    /** The longest backoff time; bounds the effect of a wrong value. */
    static final long MAX_MILLIS = 300_000;

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?");
    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfterHeader() {}

    /**
     * Parses the longest time of a header.
     *
     * @param values the header's values, each of which may be a comma-separated list
     * @return the time in milliseconds, rounded up; zero if no value is valid
     */
    static long longest(List<String> values) {
        long longest = 0;
        for (String v : values) {
            for (String part : v.split(",")) {
                longest = Math.max(longest, millis(part.trim()));
            }
        }
        return longest;
    }

    /**
     * Returns whether all values of a header are valid.
     *
     * @param values the header's values
     * @return false if any value cannot be parsed
     */
    static boolean isWellFormed(List<String> values) {
        return values.stream()
                .flatMap(v -> List.of(v.split(",", -1)).stream())
                .allMatch(part -> SECONDS.matcher(part.trim()).matches());
    }

    private static long millis(String text) {
        if (!SECONDS.matcher(text).matches()) {
            return 0;
        }
        return (long) Math.min(MAX_MILLIS, Math.ceil(Double.parseDouble(text) * MILLIS_PER_SECOND));
    }
}
