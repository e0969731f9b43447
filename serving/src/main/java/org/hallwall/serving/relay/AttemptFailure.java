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

/** One attempt at a target that gave no whole answer. */
public class AttemptFailure extends Exception {

    private static final long serialVersionUID = 1L;

    private final Verdict verdict;
    private final Kind kind;

    /**
     * Creates the failure of an attempt that reached no target.
     *
     * @param reason why
     * @return the failure
     */
    public static AttemptFailure notSent(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.NOT_SENT);
    }

    /**
     * Creates the failure of an attempt that was not made, as its target is not available.
     *
     * @param reason why
     * @return the failure
     */
    public static AttemptFailure unavailable(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.UNAVAILABLE);
    }

    /**
     * Creates the failure of an attempt at an address where nothing listens.
     *
     * @param reason why
     * @return the failure
     */
    public static AttemptFailure nobodyThere(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.NOBODY_THERE);
    }

    /**
     * Creates the failure of an attempt whose connection the target has ended before its answer was whole.
     *
     * @param reason why
     * @return the failure
     */
    public static AttemptFailure brokenOff(String reason) {
        return new AttemptFailure(Verdict.MAY_HAVE_RUN, reason, Kind.BROKEN_OFF);
    }

    /**
     * Creates the failure of an attempt that was given up here.
     *
     * @param reason why
     * @return the failure
     */
    public static AttemptFailure left(String reason) {
        return new AttemptFailure(Verdict.MAY_HAVE_RUN, reason, Kind.LEFT);
    }

    /**
     * Creates the failure of an attempt that another target than the named one answered.
     *
     * @param reason why
     * @return the failure
     */
    public static AttemptFailure misdirected(String reason) {
        return new AttemptFailure(Verdict.NOT_RUN, reason, Kind.MISDIRECTED);
    }

    /**
     * Creates the failure of an attempt that reached its target.
     *
     * @param verdict whether the target may have run the request
     * @param reason why
     */
    public AttemptFailure(Verdict verdict, String reason) {
        this(verdict, reason, Kind.ANSWERED);
    }

    private AttemptFailure(Verdict verdict, String reason, Kind kind) {
        super(reason, null, false, false);
        this.verdict = verdict;
        this.kind = kind;
    }

    /** What was seen of the target. */
    enum Kind {
        /** The request was not sent to it. */
        NOT_SENT,
        /** It is not available, and the request was not sent to it. */
        UNAVAILABLE,
        /** Nothing listens where it was. */
        NOBODY_THERE,
        /** Another target answered in its place. */
        MISDIRECTED,
        /** It ended the connection before its answer was whole. */
        BROKEN_OFF,
        /** The request was given up here while it may have run. */
        LEFT,
        /** It answered, though not as it should. */
        ANSWERED
    }

    /**
     * Says what was seen of the target.
     *
     * @return the kind of failure
     */
    Kind kind() {
        return kind;
    }

    /**
     * Says whether the request reached the target; one that did not is not repeated by being sent elsewhere.
     *
     * @return true if it did
     */
    public boolean hasReached() {
        return kind != Kind.UNAVAILABLE && !isUnreachable();
    }

    /**
     * Says whether the target could not be reached.
     *
     * @return true if so
     */
    public boolean isUnreachable() {
        return kind == Kind.NOT_SENT || kind == Kind.NOBODY_THERE;
    }

    /**
     * Says whether another target than the named one answered: the named one is not at its address any more.
     *
     * @return true if so
     */
    public boolean isMisdirected() {
        return kind == Kind.MISDIRECTED;
    }

    /**
     * Gives the verdict.
     *
     * @return whether the target may have run the request
     */
    public Verdict verdict() {
        return verdict;
    }
}
