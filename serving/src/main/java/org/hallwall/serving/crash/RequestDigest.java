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
 * Identifies repetitions of a request: requests with the same digest have the same workspace, host, method, path and body.
 *
 * @param value the digest in hexadecimal
 */
public record RequestDigest(@JsonValue String value) implements Comparable<RequestDigest> {

    /** Checks that the digest is not empty. */
    @JsonCreator
    public RequestDigest {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("the request digest must not be empty");
        }
    }

    @Override
    public int compareTo(RequestDigest other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
