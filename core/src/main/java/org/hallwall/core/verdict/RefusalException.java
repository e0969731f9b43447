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

/** A refusal of a request, with the verdict on whether it may have run. */
public class RefusalException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ProblemType type;
    private final Verdict verdict;
    private final Duration retryAfter;
    private final transient List<String> faults;

    /**
     * Creates a refusal that says when to retry.
     *
     * @param type the kind of refusal
     * @param verdict whether the request may have run
     * @param detail one sentence for the caller
     * @param retryAfter when to retry; zero if a retry makes no sense
     */
    public RefusalException(ProblemType type, Verdict verdict, String detail, Duration retryAfter) {
        this(type, verdict, detail, retryAfter, List.of());
    }

    /**
     * Creates a refusal of a declaration.
     *
     * @param type the kind of refusal
     * @param verdict whether the request may have run
     * @param detail one sentence for the caller
     * @param retryAfter when to retry; zero if a retry makes no sense
     * @param faults each fault with its path
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
     * Creates a refusal of a request that did not run and that need not be retried.
     *
     * @param type the kind of refusal
     * @param detail one sentence for the caller
     */
    public RefusalException(ProblemType type, String detail) {
        this(type, Verdict.NOT_RUN, detail, Duration.ZERO);
    }

    /**
     * Gives the kind of refusal.
     *
     * @return the kind
     */
    public ProblemType type() {
        return type;
    }

    /**
     * Says whether the request may have run.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Says when to retry.
     *
     * @return the delay; zero if coming back makes no sense
     */
    public Duration retryAfter() {
        return retryAfter;
    }

    /**
     * Gives the faults of a refused declaration.
     *
     * @return each fault with its path; empty for other refusals
     */
    public List<String> faults() {
        return faults;
    }

    /**
     * Gives the same refusal with the verdict of an earlier attempt added.
     *
     * @param earlier the verdict of the earlier attempts
     * @return a refusal whose verdict covers all attempts
     */
    public RefusalException after(Verdict earlier) {
        return new RefusalException(type, verdict.and(earlier), getMessage(), retryAfter, faults);
    }
}
