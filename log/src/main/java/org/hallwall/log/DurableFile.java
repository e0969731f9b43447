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
package org.hallwall.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Replaces small files atomically and durably: after a power loss either the old or the new content is present, and the
 * new content once the call has returned.
 */
public final class DurableFile {

    private DurableFile() {}

    /**
     * Replaces a file.
     *
     * @param directory the directory
     * @param file the file name
     * @param content the content
     * @throws IOException if it cannot be written and synced
     */
    public static void replace(Path directory, String file, ByteBuffer content) throws IOException {
        Path temporary = directory.resolve(file + ".new");
        try (FileChannel out = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            writeFully(out, content);
            out.force(true);
        }
        Files.move(temporary, directory.resolve(file), StandardCopyOption.ATOMIC_MOVE);
        syncDirectory(directory);
    }

    static void writeFully(FileChannel out, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            out.write(bytes);
        }
    }

    private static void syncDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
