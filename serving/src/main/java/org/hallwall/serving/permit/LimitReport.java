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

import org.hallwall.core.id.InstanceId;

/**
 * The rate limit of a target as exchanged between entries and control instances. Ordered by version, since clocks and ages are unreliable
 * after a process was suspended.
 *
 * @param target the target's start
 * @param perSecond the requests per second that it accepts from all entries; null for no limit
 * @param version from the control instance: the version of the limit; from an entry: the version that it knew when it sent the request
 *     whose answer declared the limit, or zero
 * @param ageMillis the age of the declaration in milliseconds; for diagnostics only
 */
public record LimitReport(InstanceId target, Double perSecond, long version, long ageMillis) {

    /**
     * Returns the limit.
     *
     * @return the limit; null for none
     */
    public RateLimit limit() {
        return perSecond == null ? null : new RateLimit(perSecond);
    }
}
