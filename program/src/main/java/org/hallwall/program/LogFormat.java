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

import java.util.logging.Formatter;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;

/** Format of log lines. */
public enum LogFormat {
    /** Human-readable text. */
    @JsonProperty("text")
    TEXT {
        @Override
        Formatter formatter() {
            return new PatternFormatter("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %s%e%n");
        }
    },
    /** One JSON object per line, with all fields. */
    @JsonProperty("json")
    JSON {
        @Override
        Formatter formatter() {
            return new JsonFormatter();
        }
    },
    /** One JSON object per line with time, level, part and message only, to reduce the cost of logging. */
    @JsonProperty("compact")
    COMPACT {
        @Override
        Formatter formatter() {
            return new CompactJsonFormatter();
        }
    };

    abstract Formatter formatter();
}
