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

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * The difference between two configurations: the segments of the base that the result keeps, and those that are new.
 *
 * @param baseVersion the version of the base
 * @param baseChecksum the checksum of the base
 * @param version the version of the result
 * @param length the length of the result in bytes
 * @param checksum the checksum of the result
 * @param edits the parts of the result in order
 */
public record ConfigurationDelta(
        long baseVersion, long baseChecksum, long version, int length, long checksum, List<Edit> edits) {

    /**
     * A run of segments of the base, or one new segment.
     *
     * @param from the number of the first segment of the base
     * @param count the number of segments of the base; zero for a new segment
     * @param member the array of a new element, or null
     * @param bytes the bytes of a new segment, or null
     * @param elementLength the length of a new element without the separator, in bytes
     */
    public record Edit(int from, int count, String member, byte[] bytes, int elementLength) {}

    /**
     * Returns the difference between two versions whose documents share segments.
     *
     * @param base the base
     * @param result the result
     * @return the difference
     */
    public static ConfigurationDelta between(VersionedDocument base, VersionedDocument result) {
        return new ConfigurationDelta(
                base.version(),
                base.document().checksum(),
                result.version(),
                result.document().length(),
                result.document().checksum(),
                edits(base.document().segments(), result.document().segments()));
    }

    private static List<Edit> edits(List<DocumentSegment> base, List<DocumentSegment> result) {
        Map<DocumentSegment, Integer> positions = new IdentityHashMap<>();
        for (int i = 0; i < base.size(); i++) {
            positions.put(base.get(i), i);
        }
        List<Edit> out = new ArrayList<>();
        int i = 0;
        while (i < result.size()) {
            DocumentSegment segment = result.get(i);
            Integer from = positions.get(segment);
            if (from == null) {
                out.add(new Edit(0, 0, segment.member(), segment.bytes(), segment.elementLength()));
                i++;
                continue;
            }
            int count = 0;
            while (i < result.size() && from + count < base.size() && result.get(i) == base.get(from + count)) {
                count++;
                i++;
            }
            out.add(new Edit(from, count, null, null, 0));
        }
        return out;
    }

    /**
     * Returns the bytes of the new segments.
     *
     * @return the number of bytes
     */
    public long newBytes() {
        long sum = 0;
        for (Edit e : edits) {
            sum += e.bytes() == null ? 0 : e.bytes().length;
        }
        return sum;
    }

    /**
     * Applies the difference.
     *
     * @param base the document that it was computed from
     * @return the resulting version
     * @throws ConfigurationException if the base is another one, or the difference is damaged
     */
    public VersionedDocument apply(VersionedDocument base) throws ConfigurationException {
        if (base.version() != baseVersion || base.document().checksum() != baseChecksum) {
            throw new ConfigurationException(
                    "a difference from version " + baseVersion + " does not apply to version " + base.version());
        }
        if (edits == null || length < 0 || length > ConfigurationDocument.MAX_BYTES) {
            throw new ConfigurationException("a difference to version " + version + " is malformed");
        }
        List<DocumentSegment> segments = new ArrayList<>();
        long bytes = 0;
        for (Edit e : edits) {
            int first = segments.size();
            addSegments(e, base.document().segments(), segments);
            for (DocumentSegment s : segments.subList(first, segments.size())) {
                bytes += s.bytes().length;
            }
            if (bytes > length) {
                throw new ConfigurationException("a difference to version " + version + " exceeds its length");
            }
        }
        ConfigurationDocument result = new ConfigurationDocument(segments, (int) newBytes());
        if (result.length() != length || result.checksum() != checksum) {
            throw new ConfigurationException("the checksum of version " + version + " differs");
        }
        return new VersionedDocument(version, result);
    }

    private void addSegments(Edit e, List<DocumentSegment> base, List<DocumentSegment> segments)
            throws ConfigurationException {
        if (e.bytes() != null) {
            if (e.elementLength() < 0 || e.elementLength() > e.bytes().length) {
                throw new ConfigurationException("a difference to version " + version + " has a malformed segment");
            }
            segments.add(new DocumentSegment(e.member(), e.bytes(), e.elementLength()));
            return;
        }
        if (e.from() < 0 || e.count() <= 0 || e.count() > base.size() - e.from()) {
            throw new ConfigurationException("a difference to version " + version + " refers to unknown segments");
        }
        segments.addAll(base.subList(e.from(), e.from() + e.count()));
    }
}
