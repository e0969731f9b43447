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
package org.hallwall.serving.relay;

import org.hallwall.core.verdict.Verdict;

/** Thrown when a request ends without a response from a target; carries the status and verdict for the client. */
public class RelayRefusal extends Exception {

    private static final long serialVersionUID = 1L;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final int status;
    private final Verdict verdict;
    private final long retryAfterMillis;
    private final transient RequestHistory history;

    /**
     * Creates a refusal.
     *
     * @param status the HTTP status
     * @param verdict whether the request may have run
     * @param reason the message for the client and the log
     * @param retryAfterMillis the Retry-After time, in milliseconds; zero for none
     */
    public RelayRefusal(int status, Verdict verdict, String reason, long retryAfterMillis) {
        this(status, verdict, reason, retryAfterMillis, RequestHistory.EMPTY);
    }

    private RelayRefusal(int status, Verdict verdict, String reason, long retryAfterMillis, RequestHistory history) {
        super(reason, null, false, false);
        this.status = status;
        this.verdict = verdict;
        this.retryAfterMillis = retryAfterMillis;
        this.history = history;
    }

    /**
     * Creates a refusal of a request that has not run and may be retried.
     *
     * @param reason the message
     * @param retryAfterMillis the Retry-After time, in milliseconds
     * @return the refusal
     */
    public static RelayRefusal notRun(String reason, long retryAfterMillis) {
        return new RelayRefusal(503, Verdict.NOT_RUN, reason, retryAfterMillis);
    }

    /**
     * Creates the refusal of a request whose attempts have failed.
     *
     * @param verdict whether the request may have run
     * @param reason the message
     * @param retryAfterMillis the Retry-After time if it has not run, in milliseconds
     * @return the refusal
     */
    public static RelayRefusal fromVerdict(Verdict verdict, String reason, long retryAfterMillis) {
        return verdict == Verdict.NOT_RUN
                ? notRun(reason, retryAfterMillis)
                : new RelayRefusal(502, verdict, reason, 0);
    }

    /**
     * Returns this refusal with the attempts of the request.
     *
     * @param attempted the attempts that have reached targets
     * @return the refusal
     */
    RelayRefusal withHistory(RequestHistory attempted) {
        return new RelayRefusal(status, verdict, getMessage(), retryAfterMillis, attempted);
    }

    /** Returns the attempts that have reached targets; empty if the request was refused before the first. */
    RequestHistory history() {
        return history;
    }

    /**
     * Parses the Retry-After header of a refusal by another entry.
     *
     * @param text the value of the header, or null
     * @return the time in milliseconds; zero if there is none
     */
    static long parseRetryAfter(String text) {
        try {
            return text == null ? 0 : Math.max(0, (long) (Double.parseDouble(text) * MILLIS_PER_SECOND));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Returns the status.
     *
     * @return the HTTP status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the verdict.
     *
     * @return whether the request may have run
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the Retry-After time.
     *
     * @return the time in milliseconds; zero for none
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
