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

import java.util.Map;

import org.hallwall.resource.ResourceKind;

/**
 * A command in the log.
 *
 * @param type what to do
 * @param kind the kind of the resource
 * @param name the name of the resource, or of the failure domain
 * @param spec the spec as JSON text; for a put; the boots of a failure domain, by commas
 * @param expectedVersion the version that the resource must have; zero if it must not exist
 * @param changeId the sender's id of the change; null for the system's own changes
 * @param shares the replicas of each failure domain; for a change of shares
 */
public record DeclarationCommand(
        Type type,
        ResourceKind kind,
        String name,
        String spec,
        long expectedVersion,
        String changeId,
        Map<String, Integer> shares) {

    /** What a command does. */
    public enum Type {
        /** Creates a resource or replaces its spec. */
        PUT,
        /** Deletes a resource. */
        DELETE,
        /** Sets the shares of a model group. */
        SHARE,
        /** Notes the boots with which a failure domain was first formed; a later one changes nothing. */
        FORM_DOMAIN
    }
}
