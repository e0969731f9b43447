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

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The operator's bytes of one configuration, divided into segments that documents of other versions can share.
 *
 * <p>The concatenated segments are the operator's bytes. A document is immutable.
 */
public final class ConfigurationDocument {

    /** The maximum length of a configuration in bytes; an entry holds it several times while it parses it. */
    public static final int MAX_BYTES = 6 << 20;

    /** The document without a byte, before the first configuration is received. */
    public static final ConfigurationDocument EMPTY = new ConfigurationDocument(List.of(), 0);

    private final List<DocumentSegment> segments;
    private final Map<String, List<DocumentSegment>> elements = new HashMap<>();
    private final int length;
    private final int newBytes;
    private final long checksum;

    /**
     * Creates a document.
     *
     * @param segments the segments
     * @param newBytes the bytes of the segments that are not shared with the earlier document
     */
    ConfigurationDocument(List<DocumentSegment> segments, int newBytes) {
        this.segments = segments;
        this.newBytes = newBytes;
        CRC32C crc = new CRC32C();
        int total = 0;
        List<DocumentSegment> array = null;
        for (DocumentSegment s : segments) {
            crc.update(s.bytes(), 0, s.bytes().length);
            total += s.bytes().length;
            if (!s.isElement()) {
                array = null;
                continue;
            }
            if (array == null) {
                array = elements.computeIfAbsent(s.member(), m -> new ArrayList<>(segments.size()));
            }
            array.add(s);
        }
        this.length = total;
        this.checksum = crc.getValue();
    }

    /**
     * Divides a configuration into segments.
     *
     * @param bytes the operator's bytes
     * @param previous an earlier document; equal segments are shared with it
     * @return the document
     */
    public static ConfigurationDocument of(byte[] bytes, ConfigurationDocument previous) {
        DocumentSplitter splitter = new DocumentSplitter(bytes, previous);
        List<DocumentSegment> segments = splitter.split();
        return new ConfigurationDocument(segments, bytes.length - splitter.sharedBytes());
    }

    /**
     * Returns the segments in order.
     *
     * @return the segments
     */
    List<DocumentSegment> segments() {
        return segments;
    }

    /**
     * Returns the elements of an array at the top level.
     *
     * @param member the name of the array
     * @return the elements in order; empty if they are part of the {@link #remainder()}
     */
    public List<DocumentSegment> elements(String member) {
        return elements.getOrDefault(member, List.of());
    }

    /**
     * Returns the document without the elements that are segments of their own; their arrays are empty in it.
     *
     * @return the bytes
     */
    public byte[] remainder() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (DocumentSegment s : segments) {
            if (!s.isElement()) {
                out.writeBytes(s.bytes());
            }
        }
        return out.toByteArray();
    }

    /**
     * Returns the operator's bytes.
     *
     * @return a copy of the bytes
     */
    public byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(length);
        for (DocumentSegment s : segments) {
            out.writeBytes(s.bytes());
        }
        return out.toByteArray();
    }

    /**
     * Returns the length of the operator's bytes.
     *
     * @return the length in bytes
     */
    public int length() {
        return length;
    }

    /**
     * Returns the length of what this document shares with the earlier one.
     *
     * @return the length in bytes
     */
    int sharedBytes() {
        return length - newBytes;
    }

    /**
     * Returns the checksum of the operator's bytes.
     *
     * @return the CRC32C
     */
    public long checksum() {
        return checksum;
    }
}
