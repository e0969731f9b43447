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

/** The commands that only read. */
final class ReadCommands {

    private static final Duration LONG = Duration.ofDays(365);

    private final CliContext c;

    ReadCommands(CliContext c) {
        this.c = c;
    }

    void get() throws ProgramException {
        ResourceKind kind = KindNames.parse(c.arg(0, "KIND"));
        String name = c.args().size() > 1 ? "/" + c.args().get(1) : "";
        ApiReply reply = c.api().get("/api/v1/" + kind.plural() + name);
        ApplyCommand.requireOk(reply);
        print(reply.body());
    }

    void watch() throws ProgramException {
        String from = c.args().isEmpty() ? "" : "?from=" + c.args().get(0);
        c.api().lines("/api/v1/watch" + from).doOnNext(c.out()::print).blockLast(LONG);
    }

    void dump() throws ProgramException {
        ApiClient admin = new ApiClient(List.of(address(c.arg(0, "ADDRESS"))), null);
        ApiReply reply = admin.get("/debug/dump");
        ApplyCommand.requireOk(reply);
        print(reply.body());
    }

    static NetAddress address(String text) throws ProgramException {
        try {
            return NetAddress.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ProgramException(ExitCode.WRONG_USE, e.getMessage());
        }
    }

    private void print(JsonNode node) throws ProgramException {
        try {
            c.out().println(Json.PRETTY.writeValueAsString(node));
        } catch (JsonProcessingException e) {
            throw new ProgramException(ExitCode.FAILURE, "the answer cannot be printed");
        }
    }
}
