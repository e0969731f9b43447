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
package org.hallwall.program;

import java.util.logging.Level;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.Json;
import org.jboss.logmanager.ExtLogRecord;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LogFormatTest {

    private static final String MESSAGE = "entry: \"quoted\" and\nbroken";

    @Test
    void jsonWritesOneObjectPerLine() throws Exception {
        String line = LogFormat.JSON.formatter().format(logRecord());
        assertEquals(1, line.strip().lines().count());
        JsonNode node = Json.MAPPER.readTree(line);
        assertEquals(MESSAGE, node.path("message").asText());
        assertEquals("INFO", node.path("level").asText());
    }

    @Test
    void textEndsWithMessage() {
        assertTrue(LogFormat.TEXT.formatter().format(logRecord()).endsWith("INFO  " + MESSAGE + "\n"));
    }

    private static ExtLogRecord logRecord() {
        return new ExtLogRecord(Level.INFO, MESSAGE, LogFormatTest.class.getName());
    }
}
