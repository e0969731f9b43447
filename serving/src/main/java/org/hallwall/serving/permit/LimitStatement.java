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
 * What an answer says of the rate limit of its target, and when that was, on the clock of the entry that heard it.
 *
 * @param limit the limit; null if the answer names none
 * @param askedAt when the request was sent that it answers, in milliseconds
 * @param heardAt when it came, in milliseconds
 */
public record LimitStatement(RateLimit limit, long askedAt, long heardAt) {

    /**
     * Says whether this statement is in force instead of an earlier one of the same entry. Answers may overtake each other, so a laxer
     * statement counts only if it was surely made later, while a stricter one does no harm until the next answer.
     *
     * @param known the statement in force; null if there is none
     * @return true if this one replaces it
     */
    public boolean replaces(LimitStatement known) {
        if (known == null) {
            return limit != null;
        }
        return isStricterThan(known.limit) || isSameLimit(known.limit) || askedAt >= known.heardAt;
    }

    /**
     * Says whether the statement names a stricter limit than another one.
     *
     * @param other the other limit; null for none
     * @return true if it does
     */
    boolean isStricterThan(RateLimit other) {
        return limit != null && limit.isStricterThan(other);
    }

    /**
     * Says whether the statement names the same limit.
     *
     * @param other the other limit; null for none
     * @return true if it does, also if both name none
     */
    boolean isSameLimit(RateLimit other) {
        return Objects.equals(limit, other);
    }
}
