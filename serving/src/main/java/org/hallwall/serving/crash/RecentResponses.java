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
 * Fingerprints that targets have answered recently. Not thread-safe.
 *
 * <p>A frequent request or prompt part is in progress on many targets, and so on all targets of a rack that fails. Recent answers distinguish
 * it from one that crashes targets.
 */
final class RecentResponses {

    private final long exemptionMillis;
    private final int maxEntries;
    private final Map<Fingerprint, Long> answeredAt = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
            return size() > maxEntries;
        }
    };

    /**
     * Creates an empty collection.
     *
     * @param exemptionMillis how long an answer exempts a fingerprint from suspicion, in milliseconds
     * @param maxEntries the maximum number of fingerprints; the ones answered least recently are evicted
     */
    RecentResponses(long exemptionMillis, int maxEntries) {
        this.exemptionMillis = exemptionMillis;
        this.maxEntries = maxEntries;
    }

    void add(Fingerprint fingerprint, long now) {
        answeredAt.put(fingerprint, now);
    }

    boolean contains(Fingerprint fingerprint, long now) {
        return contains(fingerprint, now, exemptionMillis);
    }

    /** Returns whether a fingerprint was answered within a time, as far as it has not been evicted. */
    boolean contains(Fingerprint fingerprint, long now, long withinMillis) {
        Long at = answeredAt.get(fingerprint);
        return at != null && now - at <= withinMillis;
    }
}
