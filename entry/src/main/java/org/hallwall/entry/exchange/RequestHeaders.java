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
package org.hallwall.entry.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;

/**
 * The headers of a request that say how to treat it.
 *
 * @param authorization the value that names the workspace
 * @param idempotencyKey the caller's key; null if none
 * @param repeatable whether the request may run more than once; null if the caller does not say
 * @param priority the priority
 * @param deadlineMillis how long the caller waits; zero if it does not say
 * @param hops how often the request was forwarded between failure domains
 */
public record RequestHeaders(
        String authorization,
        String idempotencyKey,
        Boolean repeatable,
        RequestPriority priority,
        long deadlineMillis,
        int hops) {

    /** Names the caller's idempotency key. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Says whether a request may run more than once. */
    public static final String REPEATABLE = "Hallwall-Repeatable";

    /** Gives the priority. */
    public static final String PRIORITY = "Hallwall-Priority";

    /** Says how many milliseconds the caller waits. */
    public static final String DEADLINE = "Hallwall-Deadline-Ms";

    /** Counts how often a request was forwarded. */
    public static final String HOPS = "Hallwall-Hops";

    /** Carries the id of the request in the reply. */
    public static final String REQUEST_ID = "Hallwall-Request-Id";

    private static final int MAX_KEY = 200;
    private static final long MAX_DEADLINE_MILLIS = 3_600_000;

    /**
     * Reads the headers.
     *
     * @param headers the headers
     * @return what they say
     * @throws RefusalException if a value is malformed
     */
    public static RequestHeaders read(HttpHeaders headers) throws RefusalException {
        return new RequestHeaders(
                headers.get("Authorization"),
                key(headers.get(IDEMPOTENCY_KEY)),
                repeatable(headers.get(REPEATABLE)),
                RequestPriority.parse(headers.get(PRIORITY)),
                deadline(headers.get(DEADLINE)),
                headers.getInt(HOPS, 0));
    }

    private static String key(String text) throws RefusalException {
        if (text != null && (text.isBlank() || text.length() > MAX_KEY)) {
            throw new RefusalException(ProblemType.BAD_REQUEST, IDEMPOTENCY_KEY + " must have 1 to 200 characters");
        }
        return text;
    }

    private static Boolean repeatable(String text) throws RefusalException {
        if (text == null) {
            return null;
        }
        if (!"true".equals(text) && !"false".equals(text)) {
            throw new RefusalException(ProblemType.BAD_REQUEST, REPEATABLE + " must be true or false");
        }
        return Boolean.valueOf(text);
    }

    private static long deadline(String text) throws RefusalException {
        if (text == null) {
            return 0;
        }
        try {
            long millis = Long.parseLong(text);
            if (millis > 0 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // refused below
        }
        throw new RefusalException(
                ProblemType.BAD_REQUEST, DEADLINE + " must be a number of milliseconds above 0, at most 3600000");
    }
}
