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
import org.hallwall.serving.target.StartedTarget;

/** Reads what the head of an answer says of its target; the body need not come. */
public final class NoticeReader {

    private static final String LEAVES = "1";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;
    /** How much of what was not understood is kept, in characters. */
    private static final int MOST_UNREAD = 40;

    private final String leaving;
    private final String answeredBy;
    private final String rateLimit;

    /**
     * Creates a reader.
     *
     * @param leaving the header by which a target says that it is about to end
     * @param answeredBy the header that names the target that has answered
     * @param rateLimit the header that names the requests a second that a target takes from the whole system
     */
    public NoticeReader(String leaving, String answeredBy, String rateLimit) {
        this.leaving = leaving;
        this.answeredBy = answeredBy;
        this.rateLimit = rateLimit;
    }

    /**
     * Says whether a status turns a request away.
     *
     * @param status the status of an answer
     * @return true if it does
     */
    public static boolean isTurnedAway(int status) {
        return status == UNAVAILABLE || status == TOO_MANY_REQUESTS;
    }

    /**
     * Reads the head of an answer.
     *
     * @param target the target that was asked
     * @param status the status
     * @param headers the headers
     * @return what it says of that target; nothing if another one has answered in its place
     */
    public TargetNotice read(InstanceId target, int status, HttpHeaders headers) {
        boolean another = status == MISDIRECTED && !StartedTarget.name(target).equals(headers.get(answeredBy));
        if (another) {
            return TargetNotice.NONE;
        }
        List<String> leaves = headers.getAll(leaving);
        List<String> times = isTurnedAway(status) ? headers.getAll(HttpHeaderNames.RETRY_AFTER) : List.of();
        List<String> limits = headers.getAll(rateLimit);
        if (leaves.isEmpty() && times.isEmpty() && limits.isEmpty()) {
            return TargetNotice.NONE;
        }
        return new TargetNotice(
                BackoffTime.longest(times),
                leaves.contains(LEAVES),
                RateLimitHeader.strictest(limits),
                unread(leaves, times, limits));
    }

    private static String unread(List<String> leaves, List<String> times, List<String> limits) {
        List<String> out = new ArrayList<>();
        if (!leaves.stream().allMatch(LEAVES::equals)) {
            out.addAll(leaves);
        }
        if (!BackoffTime.areTimes(times)) {
            out.addAll(times);
        }
        if (!RateLimitHeader.areLimits(limits)) {
            out.addAll(limits);
        }
        if (out.isEmpty()) {
            return null;
        }
        String text = String.join(" ", out);
        return text.substring(0, Math.min(text.length(), MOST_UNREAD));
    }
}
