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
 * A command of the replicated log.
 *
 * @param type the type of the command
 * @param kind the kind of the resource
 * @param name the name of the resource, or of the failure domain
 * @param spec for a put, the spec as JSON text; for a failure domain, its boot identifiers, comma-separated
 * @param expectedVersion the version that the resource must have; zero if it must not exist
 * @param changeId the idempotency key chosen by the client; null for changes made by the system
 * @param shares for a change of shares, the replicas of each failure domain
 */
public record DeclarationCommand(
        Type type,
        ResourceKind kind,
        String name,
        String spec,
        long expectedVersion,
        String changeId,
        Map<String, Integer> shares) {

    /** The type of a command. */
    public enum Type {
        /** Creates a resource or replaces its spec. */
        PUT,
        /** Deletes a resource. */
        DELETE,
        /** Sets the shares of a model group. */
        SHARE,
        /** Records the boot identifiers with which a failure domain was first formed; later commands have no effect. */
        FORM_DOMAIN
    }
}
