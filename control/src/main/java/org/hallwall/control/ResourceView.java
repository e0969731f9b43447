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
package org.hallwall.control;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A resource as returned by the API.
 *
 * @param kind the name of its kind
 * @param name its name
 * @param generation the generation of its spec, incremented with each change
 * @param resourceVersion the version to send with a change
 * @param spec the declared spec
 * @param shares for a model group, the replicas assigned to each failure domain
 * @param status for a model group, the observed status; null for other kinds
 */
public record ResourceView(
        String kind,
        String name,
        long generation,
        long resourceVersion,
        JsonNode spec,
        Map<String, Integer> shares,
        Status status) {

    /**
     * The observed status of a model group.
     *
     * @param observedGeneration the lowest generation reported by the domains that have a share; zero if one is missing
     * @param completeReplicas the number of complete groups in all failure domains
     * @param currentReplicas the number of complete groups that have the declared version
     * @param downtimeSeconds the total group downtime in all failure domains, in seconds
     * @param conditions the conditions
     */
    public record Status(
            long observedGeneration,
            int completeReplicas,
            int currentReplicas,
            double downtimeSeconds,
            List<Condition> conditions) {}

    /**
     * A condition of a resource.
     *
     * @param type the type of the condition
     * @param status whether the condition is met
     * @param reason a human-readable explanation
     */
    public record Condition(String type, boolean status, String reason) {}

    /**
     * A list of resources.
     *
     * @param version the version to watch from
     * @param items the resources
     */
    public record Page(long version, List<ResourceView> items) {}

    /**
     * An event of a watch, sent as one line of JSON.
     *
     * @param type {@code PUT}, {@code DELETE} or {@code BOOKMARK}
     * @param version the version of the change
     * @param resource the resource; null in a bookmark
     */
    public record WatchLine(String type, long version, ResourceView resource) {}

    /**
     * A declaration in a request.
     *
     * @param kind the name of the kind
     * @param name the name of the resource
     * @param resourceVersion the version that the resource must have; null or zero if it must not exist
     * @param spec the spec
     */
    public record Declaration(String kind, String name, Long resourceVersion, JsonNode spec) {}
}
