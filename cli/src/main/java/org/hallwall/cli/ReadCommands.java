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

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;
import org.hallwall.resource.ResourceKind;

/** Implements the read-only commands {@code get}, {@code watch} and {@code dump}. */
final class ReadCommands {

    private static final Duration WATCH_TIMEOUT = Duration.ofDays(365);

    private final CliContext context;

    ReadCommands(CliContext context) {
        this.context = context;
    }

    void get() throws ProgramException {
        ResourceKind kind = ResourceKindParser.parse(context.requireArg(0, "KIND"));
        String name = context.args().size() > 1 ? "/" + context.args().get(1) : "";
        ApiResponse response = context.api().get("/api/v1/" + kind.plural() + name);
        ApplyCommand.requireOk(response);
        printJson(response.body());
    }

    void watch() throws ProgramException {
        String from = context.args().isEmpty() ? "" : "?from=" + context.args().get(0);
        context.api()
                .streamText("/api/v1/watch" + from)
                .doOnNext(context.out()::print)
                .blockLast(WATCH_TIMEOUT);
    }

    void dump() throws ProgramException {
        ApiClient admin = new ApiClient(List.of(parseAddress(context.requireArg(0, "ADDRESS"))), null);
        ApiResponse response = admin.get("/debug/dump");
        ApplyCommand.requireOk(response);
        printJson(response.body());
    }

    static NetAddress parseAddress(String text) throws ProgramException {
        try {
            return NetAddress.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ProgramException(ExitCode.USAGE_ERROR, e.getMessage());
        }
    }

    private void printJson(JsonNode node) throws ProgramException {
        try {
            context.out().println(Json.PRETTY_MAPPER.writeValueAsString(node));
        } catch (JsonProcessingException e) {
            throw new ProgramException(ExitCode.FAILURE, "the response cannot be serialized");
        }
    }
}
