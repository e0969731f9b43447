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
 * Which requests targets have answered lately. Not thread-safe.
 *
 * <p>A popular request is in progress on many targets, and where several end at once, as with a rack, it is at all of those ends. What tells it
 * from one that ends targets is that it is answered all the time. One that is not popular is not at three ends at once.
 */
final class RecentAnswers {

    /**
     * How long an answer speaks for a request, in milliseconds: several runs of a request that is in progress on three targets or more at any
     * time. A request that begins to end targets, with a new version of theirs, is not held back before.
     */
    private static final long MEMORY_MILLIS = 10_000;

    /** Requests kept, about 0.3 MB; an entry answers fewer in that time at the size that is designed for. */
    private static final int MOST = 2_048;

    private final Map<RequestDigest, Long> answeredAt = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestDigest, Long> eldest) {
            return size() > MOST;
        }
    };

    void note(RequestDigest digest, long now) {
        answeredAt.put(digest, now);
    }

    boolean has(RequestDigest digest, long now) {
        Long at = answeredAt.get(digest);
        return at != null && now - at <= MEMORY_MILLIS;
    }
}
