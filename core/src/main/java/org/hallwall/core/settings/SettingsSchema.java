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
package org.hallwall.core.settings;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;

/** Validates JSON documents against a JSON schema from the class path. */
public final class SettingsSchema {

    private final Schema schema;

    private SettingsSchema(Schema schema) {
        this.schema = schema;
    }

    /**
     * Loads a schema.
     *
     * @param owner the class whose package contains the schema
     * @param resource the resource name of the schema
     * @return the schema
     * @throws IllegalStateException if the resource is missing or cannot be read
     */
    public static SettingsSchema load(Class<?> owner, String resource) {
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
        try (InputStream in = owner.getResourceAsStream(resource)) {
            if (in == null) {
                throw new IllegalStateException("schema " + resource + " is missing");
            }
            return new SettingsSchema(registry.getSchema(Json.MAPPER.readTree(in)));
        } catch (IOException e) {
            throw new IllegalStateException("cannot read schema " + resource, e);
        }
    }

    /**
     * Validates a document.
     *
     * @param document the document
     * @return all errors; empty if the document is valid
     */
    public List<SettingsError> validate(JsonNode document) {
        List<SettingsError> faults = new ArrayList<>();
        for (Error e : schema.validate(document)) {
            String path = e.getInstanceLocation().toString();
            faults.add(new SettingsError(path.isEmpty() ? "/" : path, describe(e.getInstanceNode()), e.getMessage()));
        }
        return faults;
    }

    private static String describe(JsonNode node) {
        if (node == null) {
            return "nothing";
        }
        return node.isContainerNode() ? node.getNodeType().name().toLowerCase(Locale.ROOT) : node.toString();
    }
}
