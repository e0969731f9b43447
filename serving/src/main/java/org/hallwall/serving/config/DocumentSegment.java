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

import java.util.Arrays;

/**
 * A part of a {@link ConfigurationDocument}: an element of an array with the separator that follows it, or the text between elements.
 *
 * <p>Documents of successive versions share the segments that are equal, so what was parsed from an element is kept with it.
 */
public final class DocumentSegment {

    private final String member;
    private final byte[] bytes;
    private final int elementLength;
    private final int hash;
    private volatile Object parsed;

    /**
     * Creates a segment.
     *
     * @param member the name of the array that the element belongs to, or null for the text between elements
     * @param bytes the bytes; not copied
     * @param elementLength the length of the element without the separator, in bytes
     */
    DocumentSegment(String member, byte[] bytes, int elementLength) {
        this.member = member;
        this.bytes = bytes;
        this.elementLength = elementLength;
        this.hash = Arrays.hashCode(bytes);
    }

    /**
     * Returns the array of the element.
     *
     * @return the name of the array, or null for the text between elements
     */
    public String member() {
        return member;
    }

    /**
     * Returns the bytes with the separator.
     *
     * @return the bytes; not a copy
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the length of the element without the separator.
     *
     * @return the length in bytes
     */
    public int elementLength() {
        return elementLength;
    }

    /**
     * Returns what was parsed from the element.
     *
     * @param <T> the type of the element
     * @param type the type of the element
     * @param parser parses the element unless this was done before
     * @return the parsed element
     * @throws ConfigurationException if the element is not valid
     */
    public <T> T parsed(Class<T> type, ElementParser<T> parser) throws ConfigurationException {
        Object known = parsed;
        if (type.isInstance(known)) {
            return type.cast(known);
        }
        T result = parser.parse(bytes, elementLength);
        parsed = result;
        return result;
    }

    boolean isElement() {
        return member != null;
    }

    /** Returns whether another element follows in the same array. */
    boolean hasSeparator() {
        return elementLength < bytes.length;
    }

    boolean matches(String otherMember, byte[] document, int from) {
        return otherMember.equals(member)
                && document.length - from >= bytes.length
                && Arrays.equals(document, from, from + bytes.length, bytes, 0, bytes.length);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DocumentSegment s
                && hash == s.hash
                && elementLength == s.elementLength
                && (member == null ? s.member == null : member.equals(s.member))
                && Arrays.equals(bytes, s.bytes);
    }

    @Override
    public int hashCode() {
        return hash;
    }

    /**
     * Parses an element.
     *
     * @param <T> the type of the element
     */
    @FunctionalInterface
    public interface ElementParser<T> {

        /**
         * Parses an element.
         *
         * @param bytes bytes that begin with the element
         * @param length the length of the element in bytes
         * @return the element
         * @throws ConfigurationException if it is not valid
         */
        T parse(byte[] bytes, int length) throws ConfigurationException;
    }
}
