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
package org.hallwall.serving.crash;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests that targets have answered recently. Not thread-safe.
 *
 * <p>A frequent request runs on many targets, so that it is in progress on all targets of a rack that fails. Recent answers distinguish it
 * from a request that crashes targets.
 */
final class RecentResponses {

    /**
     * How long an answer exempts a request from suspicion, in milliseconds: several runs of a request that is always
     * in progress on some targets. A request that begins to crash targets, because they run a new version, is held
     * back only after this time.
     */
    private static final long RETENTION_MILLIS = 10_000;

    private static final int MAX_REQUESTS = 2_048;

    private final Map<RequestDigest, Long> answeredAt = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestDigest, Long> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    void add(RequestDigest digest, long now) {
        answeredAt.put(digest, now);
    }

    boolean contains(RequestDigest digest, long now) {
        Long at = answeredAt.get(digest);
        return at != null && now - at <= RETENTION_MILLIS;
    }
}
