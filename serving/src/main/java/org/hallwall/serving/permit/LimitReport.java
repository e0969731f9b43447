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
 * The limit of a target as processes tell it to each other. Ages and times of one process say little to another one that may have been
 * suspended, so the order of statements goes by the version of the account.
 *
 * @param target the start of the target
 * @param perSecond the requests a second that it takes from all entries; null if it names no limit
 * @param version from the account: the version of the limit; from an entry: the version that it knew when it sent the request
 *     that was answered, or zero
 * @param ageMillis how long ago the target said so, in milliseconds; for people only
 */
public record LimitReport(InstanceId target, Double perSecond, long version, long ageMillis) {

    /**
     * Gives the limit.
     *
     * @return the limit; null if there is none
     */
    public RateLimit limit() {
        return perSecond == null ? null : new RateLimit(perSecond);
    }
}
