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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Divides a JSON object into the objects in its arrays and the text between them.
 *
 * <p>It finds the ends of strings, objects and arrays and checks nothing else: the parts are valid JSON if and only if the whole is. Text
 * that is not of this form becomes a single segment.
 */
final class DocumentSplitter {

    private static final int NOT_FOUND = -1;
    /** The number of successive new elements after which elements are searched among all earlier ones. */
    private static final int MAX_UNMATCHED = 4;

    private final byte[] bytes;
    private final List<DocumentSegment> earlier;
    private final List<DocumentSegment> segments = new ArrayList<>();
    private final Set<String> members = new HashSet<>();
    private Map<DocumentSegment, Integer> positions;
    /** The position among the earlier segments behind the last one that was shared. */
    private int next;

    private int unmatched;
    private int sharedBytes;
    private int position;
    private int textStart;

    DocumentSplitter(byte[] bytes, ConfigurationDocument previous) {
        this.bytes = bytes;
        this.earlier = previous.segments();
    }

    List<DocumentSegment> split() {
        if (!splitObject()) {
            sharedBytes = 0;
            return List.of(new DocumentSegment(null, bytes, bytes.length));
        }
        position = bytes.length;
        addText();
        return segments;
    }

    /** Returns the bytes of the segments that are shared with the earlier document. */
    int sharedBytes() {
        return sharedBytes;
    }

    private boolean splitObject() {
        skipWhitespace();
        if (!consume('{')) {
            return false;
        }
        while (true) {
            skipWhitespace();
            if (consume('}')) {
                return true;
            }
            if (!splitMember()) {
                return false;
            }
            skipWhitespace();
            if (!consume(',') && peek() != '}') {
                return false;
            }
        }
    }

    private boolean splitMember() {
        int start = position;
        if (peek() != '"' || !skipString()) {
            return false;
        }
        String name = new String(bytes, start + 1, position - start - 2, StandardCharsets.UTF_8);
        // An escaped name may equal another one; the parser decides about equal names.
        if (name.indexOf('\\') >= 0 || !members.add(name)) {
            return false;
        }
        skipWhitespace();
        if (!consume(':')) {
            return false;
        }
        skipWhitespace();
        if (peek() != '[') {
            return skipValue();
        }
        int array = position++;
        skipWhitespace();
        if (peek() == '{') {
            return splitElements(name);
        }
        position = array;
        return skipValue();
    }

    private boolean splitElements(String member) {
        addText();
        boolean more = true;
        while (more) {
            if (peek() != '{') {
                return false;
            }
            DocumentSegment segment = findNextEarlier(member);
            if (segment == null) {
                segment = readElement(member);
            }
            if (segment == null) {
                return false;
            }
            segments.add(segment);
            position = textStart + segment.bytes().length;
            textStart = position;
            more = segment.hasSeparator();
        }
        skipWhitespace();
        return consume(']');
    }

    /** Returns the earlier segment that is expected here, or the one behind it, if it has the same bytes. */
    private DocumentSegment findNextEarlier(String member) {
        for (int i = next; i < Math.min(next + 2, earlier.size()); i++) {
            DocumentSegment candidate = earlier.get(i);
            // The end of the last element of an array depends on what follows.
            if (candidate.hasSeparator() && candidate.matches(member, bytes, position)) {
                next = i + 1;
                unmatched = 0;
                return share(candidate);
            }
        }
        return null;
    }

    private DocumentSegment readElement(String member) {
        int start = position;
        if (!skipValue()) {
            return null;
        }
        int elementEnd = position;
        skipWhitespace();
        int end = elementEnd;
        if (consume(',')) {
            skipWhitespace();
            end = position;
        }
        DocumentSegment segment =
                new DocumentSegment(member, Arrays.copyOfRange(bytes, start, end), elementEnd - start);
        int known = positionOf(segment);
        if (known == NOT_FOUND) {
            return segment;
        }
        next = known + 1;
        return share(earlier.get(known));
    }

    private DocumentSegment share(DocumentSegment segment) {
        sharedBytes += segment.bytes().length;
        return segment;
    }

    private int positionOf(DocumentSegment segment) {
        for (int i = next; i < Math.min(next + 2, earlier.size()); i++) {
            if (segment.equals(earlier.get(i))) {
                unmatched = 0;
                return i;
            }
        }
        // An index of all segments is worth its cost only if the order has changed.
        if (++unmatched <= MAX_UNMATCHED) {
            return NOT_FOUND;
        }
        if (positions == null) {
            positions = new HashMap<>();
            for (int i = 0; i < earlier.size(); i++) {
                positions.put(earlier.get(i), i);
            }
        }
        return positions.getOrDefault(segment, NOT_FOUND);
    }

    private void addText() {
        DocumentSegment text =
                new DocumentSegment(null, Arrays.copyOfRange(bytes, textStart, position), position - textStart);
        textStart = position;
        // The segment behind a text is the first element of an array.
        if (next < earlier.size() && !earlier.get(next).isElement()) {
            DocumentSegment candidate = earlier.get(next++);
            text = candidate.equals(text) ? share(candidate) : text;
        }
        segments.add(text);
    }

    /** Skips an object, an array, a string, or the characters of another value. */
    private boolean skipValue() {
        int depth = 0;
        while (position < bytes.length) {
            byte b = bytes[position];
            if (b == '"') {
                if (!skipString()) {
                    return false;
                }
            } else if (b == '{' || b == '[') {
                depth++;
                position++;
            } else if (b == '}' || b == ']') {
                if (depth == 0) {
                    return true;
                }
                depth--;
                position++;
                if (depth == 0) {
                    return true;
                }
                continue;
            } else if (b == ',' && depth == 0) {
                return true;
            } else {
                position++;
            }
        }
        return false;
    }

    private boolean skipString() {
        position++;
        while (position < bytes.length) {
            byte b = bytes[position++];
            if (b == '"') {
                return true;
            }
            if (b == '\\') {
                position++;
            }
        }
        return false;
    }

    private void skipWhitespace() {
        while (position < bytes.length && isWhitespace(bytes[position])) {
            position++;
        }
    }

    private static boolean isWhitespace(byte b) {
        return b == ' ' || b == '\n' || b == '\r' || b == '\t';
    }

    private boolean consume(char c) {
        if (peek() != c) {
            return false;
        }
        position++;
        return true;
    }

    /** Returns the next byte, or a character that is not part of JSON at the end. */
    private char peek() {
        return position < bytes.length ? (char) (bytes[position] & 0xff) : 0;
    }
}
