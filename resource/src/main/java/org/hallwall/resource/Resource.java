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
package org.hallwall.resource;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A declared resource in its stored form.
 *
 * @param kind its kind
 * @param name its name
 * @param generation the generation of its spec, starting at 1 and incremented with each change
 * @param resourceVersion the log index of its last change
 * @param spec the declared spec, as JSON text
 * @param shares for a model group, the replicas assigned to each failure domain; empty for other kinds
 */
public record Resource(
        ResourceKind kind,
        String name,
        long generation,
        long resourceVersion,
        String spec,
        Map<String, Integer> shares) {

    /** Applies default values. */
    public Resource {
        shares = shares == null ? Map.of() : Map.copyOf(shares);
    }

    /**
     * Parses the spec.
     *
     * @param type the type of the spec
     * @param <T> the type of the spec
     * @return the spec
     * @throws IllegalStateException if the stored text is not a spec of that type; the API validates specs before they
     *     are stored
     */
    public <T> T readSpec(Class<T> type) {
        return SpecReader.read(spec, type);
    }

    /**
     * Parses the spec as a JSON tree.
     *
     * @return the spec
     */
    public JsonNode specTree() {
        return SpecReader.read(spec, JsonNode.class);
    }
}
