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
 * The time for which a target backs off: seconds, with fractions. Dates are not read, since the clocks of instances differ by
 * more than such a time.
 */
final class BackoffTime {

    /**
     * The longest time that is obeyed, in milliseconds. Overload passes within minutes, and a target that asks for more by mistake is not
     * lost for longer; what it then answers counts anew.
     */
    static final long MOST_MILLIS = 300_000;

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?");
    private static final double MILLIS_A_SECOND = 1_000;

    private BackoffTime() {}

    /**
     * Reads the longest time of some texts.
     *
     * @param values the values of a header, which may hold several times with commas between them
     * @return milliseconds, rounded up; zero if none can be read
     */
    static long longest(List<String> values) {
        long out = 0;
        for (String v : values) {
            for (String part : v.split(",")) {
                out = Math.max(out, millis(part.trim()));
            }
        }
        return out;
    }

    /**
     * Says whether some texts are times throughout.
     *
     * @param values the values of a header
     * @return false if a part of them cannot be read
     */
    static boolean areTimes(List<String> values) {
        return values.stream()
                .flatMap(v -> List.of(v.split(",", -1)).stream())
                .allMatch(part -> SECONDS.matcher(part.trim()).matches());
    }

    private static long millis(String text) {
        if (!SECONDS.matcher(text).matches()) {
            return 0;
        }
        return (long) Math.min(MOST_MILLIS, Math.ceil(Double.parseDouble(text) * MILLIS_A_SECOND));
    }
}
