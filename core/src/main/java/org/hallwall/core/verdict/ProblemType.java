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

/** The types of problem replies, each with its stable name and HTTP status. */
public enum ProblemType {
    BAD_REQUEST("bad-request", 400, "The request is malformed"),
    UNAUTHORIZED("unauthorized", 401, "The workspace key is missing or unknown"),
    UNKNOWN_MODEL("unknown-model", 404, "The workspace has no such model"),
    UNKNOWN_SERVICE("unknown-service", 404, "The workspace has no such service"),
    NOT_FOUND("not-found", 404, "There is no such resource"),
    CONFLICT("version-conflict", 409, "The resource has another version"),
    KEY_REUSED("idempotency-key-reused", 422, "The idempotency key was used with another request"),
    GONE("version-compacted", 410, "The version is too old to watch from"),
    BODY_TOO_LARGE("body-too-large", 413, "The body is too large"),
    INVALID_SPEC("invalid-spec", 422, "The declaration has faults"),
    LIMIT_EXCEEDED("limit-exceeded", 429, "The workspace is over its limit"),
    QUEUE_FULL("queue-full", 503, "The queue is full"),
    NO_COMPLETE_GROUP("no-complete-group", 503, "No complete group serves the model"),
    NO_QUORUM("no-quorum", 503, "No quorum of voters can be reached"),
    STOPPING("stopping", 503, "The process is stopping"),
    TARGET_UNREACHABLE("target-unreachable", 502, "The target could not be reached"),
    TARGET_FAILED("target-failed", 502, "The target failed"),
    RETRIES_EXHAUSTED("retry-budget-exhausted", 503, "The retry budget is used up"),
    CLAIM_UNAVAILABLE("claim-unavailable", 503, "The claim on the idempotency key cannot be taken"),
    OUTCOME_UNKNOWN("outcome-unknown", 409, "The outcome of the earlier request is unknown"),
    DEADLINE_EXCEEDED("deadline-exceeded", 504, "The deadline has passed"),
    INTERNAL("internal", 500, "An unexpected fault");

    private final String slug;
    private final int status;
    private final String title;

    ProblemType(String slug, int status, String title) {
        this.slug = slug;
        this.status = status;
        this.title = title;
    }

    /**
     * Returns the type with a stable name.
     *
     * @param slug the name
     * @return the type
     * @throws IllegalArgumentException if no type has this name
     */
    public static ProblemType fromSlug(String slug) {
        for (ProblemType t : values()) {
            if (t.slug.equals(slug)) {
                return t;
            }
        }
        throw new IllegalArgumentException("unknown problem type " + slug);
    }

    /**
     * Returns the stable name used in the {@code type} member of a problem reply.
     *
     * @return the name
     */
    public String slug() {
        return slug;
    }

    /**
     * Returns the HTTP status of a reply of this type.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the short title.
     *
     * @return the title
     */
    public String title() {
        return title;
    }
}
