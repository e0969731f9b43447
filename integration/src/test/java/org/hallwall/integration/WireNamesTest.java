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
package org.hallwall.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the wire names of the customers' platform occur only in the platform adapter. */
class WireNamesTest {

    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-" + "Hallwall-Attempt",
                "X-" + "Hallwall-Expect-Instance",
                "X-" + "Hallwall-Tenant",
                "X-" + "Hallwall-Not-Run",
                "\"" + "fencingToken\"",
                "\"" + "callSeq\"",
                "\"" + "pathPrefix\"",
                "HALLWALL_" + "NODE_FILE"
            })
    void appearOnlyInPlatformAdapter(String name) throws IOException {
        Assertions.assertEquals(List.of(), sourcesWith(name));
    }

    private static List<Path> sourcesWith(String name) throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(f -> f.toString().endsWith(".java"))
                    .filter(f -> !ROOT.relativize(f).startsWith("platform"))
                    .filter(f -> contains(f, name))
                    .toList();
        }
    }

    private static boolean contains(Path file, String name) {
        try {
            return Files.readString(file).contains(name);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
