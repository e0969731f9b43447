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

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * The body of an {@code application/problem+json} reply.
 *
 * @param type the stable name of the problem type
 * @param title the title of the problem type
 * @param status the HTTP status
 * @param detail a description of this occurrence
 * @param verdict whether the request may have run
 * @param verdictText the explanation of the verdict
 * @param requestId the id of the request; null if none has been assigned
 * @param faults the validation errors of a rejected declaration; null for other problems
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(
        String type,
        String title,
        int status,
        String detail,
        Verdict verdict,
        String verdictText,
        String requestId,
        List<String> faults) {

    /** The media type of a problem reply. */
    public static final String MEDIA_TYPE = "application/problem+json";

    /**
     * Creates the body for a rejected request.
     *
     * @param refusal the rejection
     * @param requestId the id of the request; may be null
     * @return the body
     */
    public static Problem of(RefusalException refusal, String requestId) {
        ProblemType kind = refusal.type();
        Verdict verdict = refusal.verdict();
        return new Problem(
                kind.slug(),
                kind.title(),
                kind.status(),
                refusal.getMessage(),
                verdict,
                verdict.callerText(),
                requestId,
                refusal.faults().isEmpty() ? null : refusal.faults());
    }
}
