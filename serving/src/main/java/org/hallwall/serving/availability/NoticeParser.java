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

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.target.TargetIds;

/** Parses what the status and headers of a response declare about its target. */
public final class NoticeParser {

    private static final String LEAVING_VALUE = "1";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;
    /** Maximum length in characters of malformed values that are kept for logs. */
    private static final int MAX_MALFORMED_LENGTH = 40;

    private final String leaving;
    private final String answeredBy;
    private final String rateLimit;

    /**
     * Creates a reader.
     *
     * @param leaving the name of the header by which a target declares that it is draining
     * @param answeredBy the name of the header with the target that has answered
     * @param rateLimit the name of the header with the requests per second that a target accepts from all entries
     */
    public NoticeParser(String leaving, String answeredBy, String rateLimit) {
        this.leaving = leaving;
        this.answeredBy = answeredBy;
        this.rateLimit = rateLimit;
    }

    /**
     * Returns whether a status rejects a request because of overload or unavailability.
     *
     * @param status the status of a response
     * @return true for 429 and 503
     */
    public static boolean isRejected(int status) {
        return status == UNAVAILABLE || status == TOO_MANY_REQUESTS;
    }

    /**
     * Parses the head of a response.
     *
     * @param target the target that the request was sent to
     * @param status the response's status
     * @param headers the response's headers
     * @return the notice; {@link TargetNotice#NONE} if another target has answered at the same address
     */
    public TargetNotice parse(InstanceId target, int status, HttpHeaders headers) {
        boolean misdirected = status == MISDIRECTED && !TargetIds.name(target).equals(headers.get(answeredBy));
        if (misdirected) {
            return TargetNotice.NONE;
        }
        List<String> leaves = headers.getAll(leaving);
        List<String> times = isRejected(status) ? headers.getAll(HttpHeaderNames.RETRY_AFTER) : List.of();
        List<String> limits = headers.getAll(rateLimit);
        if (leaves.isEmpty() && times.isEmpty() && limits.isEmpty()) {
            return TargetNotice.NONE;
        }
        return new TargetNotice(
                RetryAfterHeader.longest(times),
                leaves.contains(LEAVING_VALUE),
                RateLimitHeader.strictest(limits),
                malformed(leaves, times, limits));
    }

    private static String malformed(List<String> leaves, List<String> times, List<String> limits) {
        List<String> malformed = new ArrayList<>();
        if (!leaves.stream().allMatch(LEAVING_VALUE::equals)) {
            malformed.addAll(leaves);
        }
        if (!RetryAfterHeader.isWellFormed(times)) {
            malformed.addAll(times);
        }
        if (!RateLimitHeader.isWellFormed(limits)) {
            malformed.addAll(limits);
        }
        if (malformed.isEmpty()) {
            return null;
        }
        String text = String.join(" ", malformed);
        return text.substring(0, Math.min(text.length(), MAX_MALFORMED_LENGTH));
    }
}
