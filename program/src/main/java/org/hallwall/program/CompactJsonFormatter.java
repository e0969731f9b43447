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

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;

import com.fasterxml.jackson.core.JsonGenerator;
import org.hallwall.core.settings.Json;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/** Formats a log record as a short JSON object on one line. */
final class CompactJsonFormatter extends ExtFormatter {

    @Override
    public String format(ExtLogRecord record) {
        StringWriter out = new StringWriter(256);
        try (JsonGenerator json = Json.MAPPER.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("at", Instant.ofEpochMilli(record.getMillis()).toString());
            json.writeStringField("level", record.getLevel().getName());
            String name = record.getLoggerName();
            json.writeStringField("part", name.substring(name.lastIndexOf('.') + 1));
            json.writeStringField("message", record.getFormattedMessage());
            if (record.getThrown() != null) {
                StringWriter trace = new StringWriter();
                record.getThrown().printStackTrace(new PrintWriter(trace));
                json.writeStringField("exception", trace.toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            return "{\"level\":\"ERROR\",\"message\":\"a record cannot be written\"}\n";
        }
        return out.append('\n').toString();
    }
}
