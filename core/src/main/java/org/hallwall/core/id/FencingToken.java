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
package org.hallwall.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A fencing token that orders the commands of successive controllers: the lease term in the high bits, a counter in the
 * low bits.
 *
 * @param value the token; zero if there is none
 */
public record FencingToken(@JsonValue long value) implements Comparable<FencingToken> {

    /** The token of a target that has not accepted a command yet. */
    public static final FencingToken NONE = new FencingToken(0);

    private static final int COUNTER_BITS = 24;

    /**
     * Validates the token.
     *
     * @throws IllegalArgumentException if the value is negative
     */
    @JsonCreator
    public FencingToken {
        if (value < 0) {
            throw new IllegalArgumentException("fencing token must not be negative");
        }
    }

    /**
     * Returns the lowest token of a lease term.
     *
     * @param term the lease term
     * @return the lowest token of the term
     */
    public static FencingToken firstOfTerm(long term) {
        return new FencingToken(term << COUNTER_BITS);
    }

    /**
     * Returns the lease term of the token.
     *
     * @return the term
     */
    public long term() {
        return value >>> COUNTER_BITS;
    }

    /**
     * Returns the next token.
     *
     * @return the token that is one higher
     */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    /**
     * Returns the higher of two tokens.
     *
     * @param other the other token
     * @return the higher one
     */
    public FencingToken max(FencingToken other) {
        return value >= other.value ? this : other;
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
