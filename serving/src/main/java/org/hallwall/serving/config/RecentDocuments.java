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
package org.hallwall.serving.config;

import java.util.ArrayDeque;
import java.util.Deque;

/** The newest versions of the configuration, which are the bases of differences. */
public final class RecentDocuments {

    /** The number of versions kept; they share the segments that are equal. */
    private static final int RETAINED_VERSIONS = 16;

    /** The bound on the bytes that only earlier versions than the newest have. */
    private static final int MAX_EARLIER_BYTES = 1 << 20;

    private final Deque<VersionedDocument> newestFirst = new ArrayDeque<>();

    /**
     * Returns the newest version.
     *
     * @return the version; {@link VersionedDocument#NONE} before the first one
     */
    public synchronized VersionedDocument newest() {
        return newestFirst.isEmpty() ? VersionedDocument.NONE : newestFirst.peekFirst();
    }

    /**
     * Adds a version unless a newer one is known.
     *
     * @param document the version
     */
    public synchronized void add(VersionedDocument document) {
        if (document.version() <= newest().version()) {
            return;
        }
        newestFirst.addFirst(document);
        while (newestFirst.size() > RETAINED_VERSIONS || earlierBytes() > MAX_EARLIER_BYTES) {
            newestFirst.removeLast();
        }
    }

    /**
     * Finds a version.
     *
     * @param version the version
     * @param checksum the checksum of its bytes
     * @return the version, or null if it is not retained or its bytes are others
     */
    public synchronized VersionedDocument find(long version, long checksum) {
        for (VersionedDocument d : newestFirst) {
            if (d.version() == version) {
                return d.document().checksum() == checksum ? d : null;
            }
        }
        return null;
    }

    /** Sums what each version has and the one after it does not. */
    private long earlierBytes() {
        long sum = 0;
        ConfigurationDocument after = null;
        for (VersionedDocument d : newestFirst) {
            sum += after == null ? 0 : Math.max(0, d.document().length() - after.sharedBytes());
            after = d.document();
        }
        return sum;
    }
}
