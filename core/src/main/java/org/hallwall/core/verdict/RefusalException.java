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

import java.time.Duration;
import java.util.List;

/** Thrown when a request is rejected, with the verdict on whether it may have run. */
public class RefusalException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ProblemType type;
    private final Verdict verdict;
    private final Duration retryAfter;
    private final transient List<String> faults;

    /**
     * Creates a rejection with a delay for retries.
     *
     * @param type the problem type
     * @param verdict whether the request may have run
     * @param detail the description for the caller
     * @param retryAfter the delay before a retry; zero if a retry is pointless
     */
    public RefusalException(ProblemType type, Verdict verdict, String detail, Duration retryAfter) {
        this(type, verdict, detail, retryAfter, List.of());
    }

    /**
     * Creates the rejection of an invalid declaration.
     *
     * @param type the problem type
     * @param verdict whether the request may have run
     * @param detail the description for the caller
     * @param retryAfter the delay before a retry; zero if a retry is pointless
     * @param faults the validation errors, each with its path
     */
    public RefusalException(
            ProblemType type, Verdict verdict, String detail, Duration retryAfter, List<String> faults) {
        super(detail);
        this.type = type;
        this.verdict = verdict;
        this.retryAfter = retryAfter;
        this.faults = List.copyOf(faults);
    }

    /**
     * Creates the rejection of a request that did not run and should not be retried.
     *
     * @param type the problem type
     * @param detail the description for the caller
     */
    public RefusalException(ProblemType type, String detail) {
        this(type, Verdict.NOT_RUN, detail, Duration.ZERO);
    }

    /**
     * Returns the problem type.
     *
     * @return the type
     */
    public ProblemType type() {
        return type;
    }

    /**
     * Returns whether the request may have run.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the delay before a retry.
     *
     * @return the delay; zero if a retry is pointless
     */
    public Duration retryAfter() {
        return retryAfter;
    }

    /**
     * Returns the validation errors of an invalid declaration.
     *
     * @return each error with its path; empty for other rejections
     */
    public List<String> faults() {
        return faults;
    }

    /**
     * Returns this rejection with the verdict of earlier attempts included.
     *
     * @param earlier the verdict of the earlier attempts
     * @return a rejection whose verdict covers all attempts
     */
    public RefusalException withEarlierVerdict(Verdict earlier) {
        return new RefusalException(type, verdict.combineWith(earlier), getMessage(), retryAfter, faults);
    }
}
