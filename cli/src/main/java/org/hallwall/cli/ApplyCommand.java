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

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.core.settings.Json;
import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;
import org.hallwall.resource.ResourceKind;

/** Declares and deletes resources. */
final class ApplyCommand {

    private final CliContext c;

    ApplyCommand(CliContext c) {
        this.c = c;
    }

    void run() throws ProgramException {
        for (JsonNode d : declarations(Path.of(c.arg(0, "FILE")))) {
            applyOne(d);
        }
    }

    void delete() throws ProgramException {
        ResourceKind kind = KindNames.parse(c.arg(0, "KIND"));
        String path = path(kind, c.arg(1, "NAME"));
        ApiReply current = c.api().get(path);
        requireOk(current);
        long version = current.body().path("resourceVersion").asLong();
        String changeId = UUID.randomUUID().toString();
        requireOk(c.api().change(HttpMethod.DELETE, path + "?resourceVersion=" + version, null, changeId));
        c.out().println(kind.label() + "/" + c.args().get(1) + " deleted");
    }

    private void applyOne(JsonNode d) throws ProgramException {
        ResourceKind kind = ResourceKind.byLabel(d.path("kind").asText());
        if (kind == null) {
            throw new ProgramException(ExitCode.FAILURE, "there is no kind " + d.path("kind"));
        }
        String name = d.path("name").asText();
        String path = path(kind, name);
        ObjectNode body = d.deepCopy();
        if (!d.has("resourceVersion")) {
            ApiReply current = c.api().get(path);
            if (current.isOk() && current.body().path("spec").equals(d.path("spec"))) {
                c.out().println(kind.label() + "/" + name + " unchanged");
                return;
            }
            body.put(
                    "resourceVersion",
                    current.isOk() ? current.body().path("resourceVersion").asLong() : 0);
        }
        String changeId = UUID.randomUUID().toString();
        ApiReply reply = c.api().change(HttpMethod.PUT, path, body.toString(), changeId);
        requireOk(reply);
        c.out()
                .println(kind.label() + "/" + name + " accepted as version "
                        + reply.body().path("resourceVersion").asLong());
    }

    private static List<JsonNode> declarations(Path file) throws ProgramException {
        try {
            JsonNode root = Json.COMMENTED.readTree(Files.readString(file));
            List<JsonNode> out = new ArrayList<>();
            if (root.isArray()) {
                root.forEach(out::add);
            } else {
                out.add(root);
            }
            return out;
        } catch (IOException e) {
            throw new ProgramException(ExitCode.FAILURE, file.getFileName() + " cannot be read: " + e.getMessage());
        }
    }

    private static String path(ResourceKind kind, String name) {
        return "/api/v1/" + kind.plural() + "/" + name;
    }

    static void requireOk(ApiReply reply) throws ProgramException {
        if (!reply.isOk()) {
            throw new ProgramException(ExitCode.FAILURE, reply.problem());
        }
    }
}
