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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/** Reads settings files in JSON with comments, and validates them before use. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads and validates a settings file.
     *
     * @param file the file
     * @param schema the schema of the file
     * @param type the class of the settings
     * @param <T> the type of the settings
     * @return the settings
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public static <T> T read(Path file, SettingsSchema schema, Class<T> type) throws SettingsException {
        String name = file.getFileName().toString();
        JsonNode document = parse(file, name);
        List<SettingsError> faults = schema.validate(document);
        if (!faults.isEmpty()) {
            throw new SettingsException(name, faults);
        }
        try {
            return Json.MAPPER.treeToValue(document, type);
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    name, List.of(new SettingsError("/", "an invalid value", e.getOriginalMessage())));
        }
    }

    private static JsonNode parse(Path file, String name) throws SettingsException {
        try {
            return Json.MAPPER_WITH_COMMENTS.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            String location = "line " + e.getLocation().getLineNr();
            throw new SettingsException(
                    name, List.of(new SettingsError(location, "invalid JSON", e.getOriginalMessage())));
        } catch (IOException e) {
            throw new SettingsException(name, List.of(new SettingsError("/", "an unreadable file", e.toString())));
        }
    }
}
