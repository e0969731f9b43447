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

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.SettingsError;
import org.hallwall.core.settings.SettingsSchema;

/** The kinds of resources, with their JSON schema and their names in declarations and paths. */
public enum ResourceKind {
    MODEL_GROUP("ModelGroup", "modelgroups", "modelgroup.schema.json"),
    WORKSPACE("Workspace", "workspaces", "workspace.schema.json"),
    SERVICE("Service", "services", "service.schema.json");

    private final String label;
    private final String plural;
    private final SettingsSchema schema;

    ResourceKind(String label, String plural, String schema) {
        this.label = label;
        this.plural = plural;
        this.schema = SettingsSchema.load(ResourceKind.class, schema);
    }

    /**
     * Returns a kind by its name in declarations.
     *
     * @param label the name, such as {@code ModelGroup}
     * @return the kind; null if the name is unknown
     */
    public static ResourceKind byLabel(String label) {
        for (ResourceKind k : values()) {
            if (k.label.equals(label)) {
                return k;
            }
        }
        return null;
    }

    /**
     * Returns a kind by its name in paths.
     *
     * @param plural the name, such as {@code modelgroups}
     * @return the kind; null if the name is unknown
     */
    public static ResourceKind byPlural(String plural) {
        for (ResourceKind k : values()) {
            if (k.plural.equals(plural)) {
                return k;
            }
        }
        return null;
    }

    /**
     * Returns the name in declarations.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Returns the name in paths.
     *
     * @return the name
     */
    public String plural() {
        return plural;
    }

    /**
     * Validates a spec against the schema of this kind.
     *
     * @param spec the spec
     * @return all validation errors; empty if the spec is valid
     */
    public List<SettingsError> check(JsonNode spec) {
        return schema.validate(spec);
    }
}
