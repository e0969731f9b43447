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
package org.hallwall.serving.crash;

/** The requests and prompt parts that targets have answered to this entry. Not thread-safe. */
final class AnswerHistory {

    /**
     * How long an answer exempts a request from suspicion, in milliseconds: several runs of a request that is always
     * in progress on some targets. A request that begins to crash targets, because they run a new version, is held
     * back only after this time.
     */
    private static final long REQUEST_EXEMPTION_MILLIS = 10_000;

    /**
     * How long an answer exempts a prompt part. A part that is in progress on several targets is answered more often
     * than a request, and a part that begins to crash targets affects all requests that share it.
     */
    private static final long PROMPT_PART_EXEMPTION_MILLIS = 2_000;

    /**
     * How long an answer shows that a prompt part has not crashed targets before, in milliseconds. Such a part is
     * suspected after others, since sound requests may share it with crashing ones.
     */
    private static final long PROVEN_MILLIS = 600_000;

    private static final int MAX_RECENT_REQUESTS = 2_048;
    private static final int MAX_RECENT_PROMPT_PARTS = 8_192;

    private final RecentResponses requests = new RecentResponses(REQUEST_EXEMPTION_MILLIS, MAX_RECENT_REQUESTS);
    private final RecentResponses promptParts =
            new RecentResponses(PROMPT_PART_EXEMPTION_MILLIS, MAX_RECENT_PROMPT_PARTS);

    void add(Fingerprint fingerprint, long now) {
        of(fingerprint).add(fingerprint, now);
    }

    /** Returns whether a request or prompt part was answered so recently that a crash is not attributed to it. */
    boolean isRecent(Fingerprint fingerprint, long now) {
        return of(fingerprint).contains(fingerprint, now);
    }

    /** Returns whether a prompt part was answered earlier. */
    boolean isProven(Fingerprint fingerprint, long now) {
        return promptParts.contains(fingerprint, now, PROVEN_MILLIS);
    }

    private RecentResponses of(Fingerprint fingerprint) {
        return fingerprint.kind() == Fingerprint.Kind.REQUEST ? requests : promptParts;
    }
}
