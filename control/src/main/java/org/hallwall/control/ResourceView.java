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
 * A resource as the API shows it.
 *
 * @param kind the name of its kind
 * @param name its name
 * @param generation how often its spec has changed
 * @param resourceVersion the version to send with a change
 * @param spec the declared spec
 * @param shares of a model group, the replicas given to each failure domain
 * @param status of a model group, what was observed; null for other kinds
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
     * What was observed of a model group.
     *
     * @param observedGeneration the generation that every failure domain with a share works towards
     * @param completeReplicas the complete groups over all failure domains
     * @param currentReplicas the complete groups of the declared version
     * @param downtimeSeconds the group downtime over all failure domains, in seconds
     * @param conditions the conditions
     */
    public record Status(
            long observedGeneration,
            int completeReplicas,
            int currentReplicas,
            double downtimeSeconds,
            List<Condition> conditions) {}

    /**
     * One condition.
     *
     * @param type its name
     * @param status whether it holds
     * @param reason one sentence
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
     * One line of a watch.
     *
     * @param type {@code PUT}, {@code DELETE} or {@code BOOKMARK}
     * @param version the version of the change
     * @param resource the resource; null in a bookmark
     */
    public record WatchLine(String type, long version, ResourceView resource) {}

    /**
     * A declaration as it is sent.
     *
     * @param kind the name of the kind
     * @param name the name of the resource
     * @param resourceVersion the version that the resource must have; null or zero if it must not exist
     * @param spec the spec
     */
    public record Declaration(String kind, String name, Long resourceVersion, JsonNode spec) {}
}
