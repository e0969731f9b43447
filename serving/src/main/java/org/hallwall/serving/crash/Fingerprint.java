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

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies something that may crash targets: a request, with its repetitions, or a prompt part that different requests share.
 *
 * <p>Requests with the same fingerprint have the same workspace, host, method, path and body. A prompt part is the same for all workspaces,
 * services and models, since a target crashes on it whatever else the request contains.
 *
 * @param value the digest of the request in hexadecimal, or the prefixed id of the prompt part
 */
public record Fingerprint(@JsonValue String value) implements Comparable<Fingerprint> {

    private static final String PROMPT_PART_PREFIX = "part-";

    /** What a fingerprint identifies, from the fewest affected requests to the most. */
    public enum Kind {
        /** One request and its repetitions. */
        REQUEST("request"),
        /** All requests whose prompts share a part. */
        PROMPT_PART("prompt part");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /**
         * Returns the name of the kind for logs.
         *
         * @return the name
         */
        public String label() {
            return label;
        }
    }

    /** Checks that the fingerprint is not empty. */
    @JsonCreator
    public Fingerprint {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("the fingerprint must not be empty");
        }
    }

    /**
     * Creates the fingerprint of a prompt part.
     *
     * @param id the id of the part
     * @return the fingerprint
     */
    public static Fingerprint ofPromptPart(String id) {
        return new Fingerprint(PROMPT_PART_PREFIX + id);
    }

    /**
     * Returns what the fingerprint identifies.
     *
     * @return the kind
     */
    public Kind kind() {
        return value.startsWith(PROMPT_PART_PREFIX) ? Kind.PROMPT_PART : Kind.REQUEST;
    }

    @Override
    public int compareTo(Fingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
