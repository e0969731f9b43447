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
package org.hallwall.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.Json;

/**
 * A structured line of a process's log.
 *
 * @param at when it was written, by the clock of its process
 * @param process who wrote it: the word before the object, else the file's name
 * @param part the part of the program
 * @param message the message
 */
record LogLine(Instant at, String process, String part, String message) {

    /**
     * Reads a line.
     *
     * @param text the line; collectors may have put the process before the object
     * @param file the name of its file
     * @return the line, or null if it is not a structured one
     */
    static LogLine parse(String text, String file) {
        int start = text.indexOf('{');
        if (start < 0) {
            return null;
        }
        try {
            JsonNode json = Json.MAPPER.readTree(text.substring(start));
            if (json == null || !json.hasNonNull("at") || !json.hasNonNull("message")) {
                return null;
            }
            String before = text.substring(0, start).strip();
            return new LogLine(
                    Instant.parse(json.get("at").asText()),
                    before.isEmpty() ? file : before.substring(before.lastIndexOf(' ') + 1),
                    json.path("part").asText(),
                    json.get("message").asText());
        } catch (JsonProcessingException | DateTimeParseException e) {
            return null;
        }
    }
}
