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
 * A declared resource as it is stored.
 *
 * @param kind its kind
 * @param name its name
 * @param generation how often its spec has changed, from 1
 * @param resourceVersion the log index of its last change
 * @param spec the declared spec, as JSON text
 * @param shares of a model group, the replicas given to each failure domain; empty for other kinds
 */
public record Resource(
        ResourceKind kind,
        String name,
        long generation,
        long resourceVersion,
        String spec,
        Map<String, Integer> shares) {

    /** Fills in what is left out. */
    public Resource {
        shares = shares == null ? Map.of() : Map.copyOf(shares);
    }

    /**
     * Reads the spec.
     *
     * @param type the type of the spec
     * @param <T> the type of the spec
     * @return the spec
     * @throws IllegalStateException if the stored text is not a spec of that type, which the check at the API rules out
     */
    public <T> T read(Class<T> type) {
        return ResourceText.read(spec, type);
    }

    /**
     * Reads the spec as a tree.
     *
     * @return the spec
     */
    public JsonNode tree() {
        return ResourceText.read(spec, JsonNode.class);
    }
}
