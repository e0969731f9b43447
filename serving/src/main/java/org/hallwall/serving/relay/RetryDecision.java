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

import java.util.Locale;

/** Decision whether a request is retried after a failed attempt. */
enum RetryDecision {
    /** The request kind or the number of attempts does not permit a retry. */
    NOT_ALLOWED(false, "not retryable"),
    /** The attempt reached no target, so the next one is not charged to the budget. */
    UNCHARGED(true, "retried without charge"),
    /** The retry is charged to the budget. */
    GRANTED(true, "retried on the budget"),
    /** The retry budget is exhausted. */
    REFUSED(false, "not retried, the retry budget is exhausted"),
    /** Another attempt is in progress and decides what becomes of the request. */
    IN_PROGRESS(false, "another attempt is in progress"),
    /** The request has run here, and the entry that forwarded it decides whether it runs again. */
    RETURNED(false, "returned to the forwarding entry"),
    /** The request has crashed targets and would likely crash another one. */
    HELD_BACK(false, "not retried, the request has crashed targets"),
    /** Another attempt could not complete before this entry exits. */
    SHUTTING_DOWN(false, "not retried, this entry is shutting down");

    private final boolean retry;
    private final String text;

    RetryDecision(boolean retry, String text) {
        this.retry = retry;
        this.text = text;
    }

    /** Returns whether the request is retried. */
    boolean isRetry() {
        return retry;
    }

    /** Returns the label in metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String toString() {
        return text;
    }
}
