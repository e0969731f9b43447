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
 * A line of a structured log.
 *
 * @param timestamp the time at which the line was written, by the clock of its process
 * @param process the process that wrote the line: the last word before the JSON object, or else the file name
 * @param part the component that logged the message
 * @param message the text of the message
 */
record LogLine(Instant timestamp, String process, String part, String message) {

    /**
     * Parses a line.
     *
     * @param text the line; log collectors may prefix the JSON object with the process name
     * @param file the name of the log file
     * @return the parsed line, or null if it is not a structured log line
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
            String prefix = text.substring(0, start).strip();
            return new LogLine(
                    Instant.parse(json.get("at").asText()),
                    prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1),
                    json.path("part").asText(),
                    json.get("message").asText());
        } catch (JsonProcessingException | DateTimeParseException e) {
            return null;
        }
    }
}
