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

/** Implements {@code apply} and {@code delete}. */
final class ApplyCommand {

    private final CliContext context;

    ApplyCommand(CliContext context) {
        this.context = context;
    }

    void run() throws ProgramException {
        for (JsonNode declaration : readDeclarations(Path.of(context.requireArg(0, "FILE")))) {
            applyDeclaration(declaration);
        }
    }

    void delete() throws ProgramException {
        ResourceKind kind = ResourceKindParser.parse(context.requireArg(0, "KIND"));
        String path = resourcePath(kind, context.requireArg(1, "NAME"));
        ApiResponse current = context.api().get(path);
        requireOk(current);
        long version = current.body().path("resourceVersion").asLong();
        String changeId = UUID.randomUUID().toString();
        requireOk(context.api().sendChange(HttpMethod.DELETE, path + "?resourceVersion=" + version, null, changeId));
        context.out().println(kind.label() + "/" + context.args().get(1) + " deleted");
    }

    private void applyDeclaration(JsonNode declaration) throws ProgramException {
        ResourceKind kind = ResourceKind.byLabel(declaration.path("kind").asText());
        if (kind == null) {
            throw new ProgramException(ExitCode.FAILURE, "unknown resource kind " + declaration.path("kind"));
        }
        String name = declaration.path("name").asText();
        String path = resourcePath(kind, name);
        ObjectNode body = declaration.deepCopy();
        if (!declaration.has("resourceVersion")) {
            ApiResponse current = context.api().get(path);
            if (current.isOk() && current.body().path("spec").equals(declaration.path("spec"))) {
                context.out().println(kind.label() + "/" + name + " unchanged");
                return;
            }
            body.put(
                    "resourceVersion",
                    current.isOk() ? current.body().path("resourceVersion").asLong() : 0);
        }
        String changeId = UUID.randomUUID().toString();
        ApiResponse response = context.api().sendChange(HttpMethod.PUT, path, body.toString(), changeId);
        requireOk(response);
        context.out()
                .println(kind.label() + "/" + name + " accepted as version "
                        + response.body().path("resourceVersion").asLong());
    }

    private static List<JsonNode> readDeclarations(Path file) throws ProgramException {
        try {
            JsonNode root = Json.MAPPER_WITH_COMMENTS.readTree(Files.readString(file));
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

    private static String resourcePath(ResourceKind kind, String name) {
        return "/api/v1/" + kind.plural() + "/" + name;
    }

    static void requireOk(ApiResponse response) throws ProgramException {
        if (!response.isOk()) {
            throw new ProgramException(ExitCode.FAILURE, response.problemText());
        }
    }
}
