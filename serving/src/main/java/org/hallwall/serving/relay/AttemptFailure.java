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

/** Thrown when an attempt at a target ends without a complete response. */
public class AttemptFailure extends Exception {

    private static final long serialVersionUID = 1L;

    private final Verdict verdict;
    private final Kind kind;
    private final long retryAfterMillis;

    /**
     * Creates the failure of an attempt that was not sent.
     * @param reason the message
     * @return the failure
     */
    public static AttemptFailure notSent(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.NOT_SENT);
    }

    /**
     * Creates the failure of an attempt that was skipped because the target is unavailable.
     * @param reason the message
     * @return the failure
     */
    public static AttemptFailure unavailable(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.UNAVAILABLE);
    }

    /**
     * Creates the failure of an attempt whose connection was refused.
     * @param reason the message
     * @return the failure
     */
    public static AttemptFailure connectionRefused(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.CONNECTION_REFUSED);
    }

    /**
     * Creates the failure of an attempt whose connection the target closed before the response was complete.
     * @param reason the message
     * @return the failure
     */
    public static AttemptFailure connectionLost(String reason) {
        return new AttemptFailure(Verdict.MAY_HAVE_RUN, reason, Kind.CONNECTION_LOST);
    }

    /**
     * Creates the failure of an attempt whose response ended too early, although the connection was closed in an orderly way.
     * @param reason the message
     * @return the failure
     */
    public static AttemptFailure truncated(String reason) {
        return new AttemptFailure(Verdict.RAN, reason, Kind.CONNECTION_LOST);
    }

    /**
     * Creates the failure of an attempt that this entry abandoned.
     * @param reason the message
     * @return the failure
     */
    public static AttemptFailure abandoned(String reason) {
        return new AttemptFailure(Verdict.MAY_HAVE_RUN, reason, Kind.ABANDONED);
    }

    /**
     * Creates the failure of an attempt that reached another target than the expected one.
     * @param reason the message
     * @return the failure
     */
    public static AttemptFailure misdirected(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.MISDIRECTED);
    }

    /**
     * Creates the failure of an attempt that another entry refused or could not complete.
     * @param verdict whether a target may have run the request
     * @param reason the message
     * @param retryAfterMillis the Retry-After time of the entry, in milliseconds; zero for none
     * @return the failure
     */
    public static AttemptFailure refusedByEntry(Verdict verdict, String reason, long retryAfterMillis) {
        return new AttemptFailure(verdict, reason, Kind.RESPONDED, retryAfterMillis);
    }

    /**
     * Creates the failure of an attempt to which the target responded.
     *
     * @param verdict whether the target may have run the request
     * @param reason the message
     */
    public AttemptFailure(Verdict verdict, String reason) {
        this(verdict, reason, Kind.RESPONDED);
    }

    private AttemptFailure(Verdict verdict, String reason, Kind kind) {
        this(verdict, reason, kind, 0);
    }

    private AttemptFailure(Verdict verdict, String reason, Kind kind, long retryAfterMillis) {
        super(reason, null, false, false);
        this.verdict = verdict;
        this.kind = kind;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** How an attempt failed. */
    enum Kind {
        /** The request was not sent. */
        NOT_SENT,
        /** The target is unavailable, and the request was not sent. */
        UNAVAILABLE,
        /** The target refused the connection. */
        CONNECTION_REFUSED,
        /** Another target responded. */
        MISDIRECTED,
        /** The target closed the connection before the response was complete. */
        CONNECTION_LOST,
        /** This entry abandoned the attempt while the target may have run it. */
        ABANDONED,
        /** The target responded with an error or an invalid response. */
        RESPONDED
    }

    /**
     * Returns how the attempt failed.
     *
     * @return the kind of failure
     */
    Kind kind() {
        return kind;
    }

    /**
     * Returns whether the request reached the target. If not, sending it elsewhere is not charged as a retry.
     *
     * @return true if the request reached the target
     */
    public boolean hasReachedTarget() {
        return kind != Kind.UNAVAILABLE && !isUnreachable();
    }

    /**
     * Returns whether the request may still arrive: the recipient has not responded, and may be stopped.
     *
     * @return true if the request may arrive later
     */
    boolean mayArriveLater() {
        return kind == Kind.ABANDONED;
    }

    /**
     * Returns whether the target is unreachable.
     *
     * @return true if the target is unreachable
     */
    public boolean isUnreachable() {
        return kind == Kind.NOT_SENT || kind == Kind.CONNECTION_REFUSED;
    }

    /**
     * Returns whether another target responded, because the address of the expected one has been reused.
     *
     * @return true if another target responded
     */
    public boolean isMisdirected() {
        return kind == Kind.MISDIRECTED;
    }

    /**
     * Returns the Retry-After time of the entry that refused the request.
     *
     * @return the time in milliseconds; zero for none
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }

    /**
     * Returns the verdict.
     *
     * @return whether the target may have run the request
     */
    public Verdict verdict() {
        return verdict;
    }
}
