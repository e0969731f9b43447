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
package org.hallwall.core.verdict;

/** Tells whether a request may have run on a target. */
public enum Verdict {
    /** No target has started the request. */
    NOT_RUN("The request did not run. Sending it again is safe.") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return true;
        }
    },
    /** A target may have started the request, and its outcome is unknown. */
    MAY_HAVE_RUN("The request may have run. Send it again only if running it twice is harmless.") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return idempotent;
        }
    },
    /** A target has run the request. */
    RAN("The request ran, but its whole answer cannot be delivered.") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return false;
        }
    };

    private final String callerText;

    Verdict(String callerText) {
        this.callerText = callerText;
    }

    /**
     * Returns whether a retry is allowed after a failure with this verdict.
     *
     * @param idempotent whether the caller marked the request as repeatable
     * @return true if a retry is safe
     */
    public abstract boolean allowsRetry(boolean idempotent);

    /**
     * Returns the explanation for the caller.
     *
     * @return the explanation
     */
    public String callerText() {
        return callerText;
    }

    /**
     * Combines the verdicts of two attempts at the same request.
     *
     * @param other the verdict of the other attempt
     * @return the verdict that allows fewer retries
     */
    public Verdict combineWith(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
