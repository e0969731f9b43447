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
package org.hallwall.serving.permit;

import java.util.Objects;

/**
 * A target's declaration of its rate limit in a response, with times on the clock of the entry that received it.
 *
 * @param limit the limit; null if the response declares none
 * @param requestedAt when the request was sent, in milliseconds
 * @param receivedAt when the response was received, in milliseconds
 */
public record LimitStatement(RateLimit limit, long requestedAt, long receivedAt) {

    /**
     * Returns whether this statement replaces the one in force at the same entry. Responses may be reordered, so a
     * less strict limit applies only if it was certainly declared later, while a stricter one always applies.
     *
     * @param known the statement in force; null if there is none
     * @return true if this statement replaces it
     */
    public boolean replaces(LimitStatement known) {
        if (known == null) {
            return limit != null;
        }
        return isStricterThan(known.limit) || isSameLimit(known.limit) || requestedAt >= known.receivedAt;
    }

    /**
     * Returns whether this statement's limit is stricter than another limit.
     *
     * @param other the other limit; null for none
     * @return true if it is stricter
     */
    boolean isStricterThan(RateLimit other) {
        return limit != null && limit.isStricterThan(other);
    }

    /**
     * Returns whether this statement has the given limit.
     *
     * @param other the limit; null for none
     * @return true if both are equal or none
     */
    boolean isSameLimit(RateLimit other) {
        return Objects.equals(limit, other);
    }
}
