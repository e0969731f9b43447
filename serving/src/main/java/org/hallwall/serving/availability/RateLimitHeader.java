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

import org.hallwall.serving.permit.RateLimit;

/** The header by which a target declares its rate limit: requests per second, a decimal number without sign or exponent. */
final class RateLimitHeader {

    private static final Pattern PER_SECOND = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?");

    private RateLimitHeader() {}

    /**
     * Parses the strictest limit of a header.
     *
     * @param values the header's values, each of which may be a comma-separated list
     * @return the limit; null if no value is valid
     */
    static RateLimit strictest(List<String> values) {
        RateLimit strictest = null;
        for (String v : values) {
            for (String part : v.split(",")) {
                RateLimit limit = read(part.trim());
                if (limit != null && limit.isStricterThan(strictest)) {
                    strictest = limit;
                }
            }
        }
        return strictest;
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
                .allMatch(part -> PER_SECOND.matcher(part.trim()).matches());
    }

    private static RateLimit read(String text) {
        return PER_SECOND.matcher(text).matches() ? new RateLimit(Double.parseDouble(text)) : null;
    }
}
