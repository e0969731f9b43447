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
 * The request headers that hallwall interprets.
 *
 * @param authorization the credentials that identify the workspace; null if absent
 * @param idempotencyKey the idempotency key; null if absent
 * @param repeatable whether the request may run more than once; null if absent
 * @param priority the priority
 * @param deadlineMillis the time to the deadline, in milliseconds; zero if absent
 * @param hops the number of times the request was forwarded between entries
 */
public record RequestHeaders(
        String authorization,
        String idempotencyKey,
        Boolean repeatable,
        RequestPriority priority,
        long deadlineMillis,
        int hops) {

    /** The idempotency key of the request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Whether the request may run more than once. */
    public static final String REPEATABLE = "Hallwall-Repeatable";

    /** The priority of the request. */
    public static final String PRIORITY = "Hallwall-Priority";

    /** The time to the deadline, in milliseconds. */
    public static final String DEADLINE = "Hallwall-Deadline-Ms";

    /** The number of times the request was forwarded. */
    public static final String HOPS = "Hallwall-Hops";

    /** The id of the request, in the response. */
    public static final String REQUEST_ID = "Hallwall-Request-Id";

    private static final int MAX_KEY_LENGTH = 200;
    private static final long MAX_DEADLINE_MILLIS = 3_600_000;

    /**
     * Parses the headers of a request.
     *
     * @param headers the HTTP headers
     * @return the parsed headers
     * @throws RefusalException if a value is malformed
     */
    public static RequestHeaders parse(HttpHeaders headers) throws RefusalException {
        return new RequestHeaders(
                headers.get("Authorization"),
                parseKey(headers.get(IDEMPOTENCY_KEY)),
                parseRepeatable(headers.get(REPEATABLE)),
                RequestPriority.parse(headers.get(PRIORITY)),
                parseDeadline(headers.get(DEADLINE)),
                headers.getInt(HOPS, 0));
    }

    private static String parseKey(String text) throws RefusalException {
        if (text != null && (text.isBlank() || text.length() > MAX_KEY_LENGTH)) {
            throw new RefusalException(ProblemType.BAD_REQUEST, IDEMPOTENCY_KEY + " must have 1 to 200 characters");
        }
        return text;
    }

    private static Boolean parseRepeatable(String text) throws RefusalException {
        if (text == null) {
            return null;
        }
        if (!"true".equals(text) && !"false".equals(text)) {
            throw new RefusalException(ProblemType.BAD_REQUEST, REPEATABLE + " must be true or false");
        }
        return Boolean.valueOf(text);
    }

    private static long parseDeadline(String text) throws RefusalException {
        if (text == null) {
            return 0;
        }
        try {
            long millis = Long.parseLong(text);
            if (millis > 0 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // handled as an invalid value below
        }
        throw new RefusalException(
                ProblemType.BAD_REQUEST, DEADLINE + " must be a number of milliseconds above 0, at most 3600000");
    }
}
