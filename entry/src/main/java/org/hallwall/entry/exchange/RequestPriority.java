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
package org.hallwall.entry.exchange;

import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;

/** The priority of a request. */
public enum RequestPriority {
    /** Lowest weight, but not starved by higher priorities. */
    LOW(1),
    /** The default priority. */
    NORMAL(4),
    /** Highest weight. */
    HIGH(16);

    private final int weight;

    RequestPriority(int weight) {
        this.weight = weight;
    }

    /**
     * Returns the weight of this priority in weighted round-robin queueing.
     *
     * @return the weight
     */
    public int weight() {
        return weight;
    }

    /**
     * Parses the value of the priority header.
     *
     * @param text the value, in any case; null for the default
     * @return the priority
     * @throws RefusalException if the value is not a priority
     */
    public static RequestPriority parse(String text) throws RefusalException {
        if (text == null) {
            return NORMAL;
        }
        for (RequestPriority p : values()) {
            if (p.name().equalsIgnoreCase(text)) {
                return p;
            }
        }
        throw new RefusalException(ProblemType.BAD_REQUEST, "Hallwall-Priority must be low, normal or high");
    }
}
