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

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/** Reads HTTP bodies as a whole, up to a limit. */
public final class BoundedBody {

    private BoundedBody() {}

    /**
     * Reads a complete body. If it exceeds the limit, reading is cancelled, which closes the connection of a client.
     *
     * @param body the body as it is received
     * @param maxBytes the maximum size of the body, in bytes
     * @return the body, empty if there is none, or a {@link BodyTooLargeException}
     */
    public static Mono<byte[]> read(ByteBufFlux body, int maxBytes) {
        return body.asByteArray()
                .collect(ByteArrayOutputStream::new, (out, chunk) -> append(out, chunk, maxBytes))
                .map(ByteArrayOutputStream::toByteArray)
                .onErrorMap(Exceptions::unwrap);
    }

    /**
     * Reads a complete body as text in UTF-8.
     *
     * @param body the body as it is received
     * @param maxBytes the maximum size of the body, in bytes
     * @return the text, empty if there is none, or a {@link BodyTooLargeException}
     */
    public static Mono<String> readText(ByteBufFlux body, int maxBytes) {
        return read(body, maxBytes).map(b -> new String(b, StandardCharsets.UTF_8));
    }

    private static void append(ByteArrayOutputStream out, byte[] chunk, int maxBytes) {
        if (chunk.length > maxBytes - out.size()) {
            throw Exceptions.propagate(new BodyTooLargeException(maxBytes));
        }
        out.writeBytes(chunk);
    }
}
