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
package org.hallwall.entry.request;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies with a limit on size and time. */
public final class BodyReader {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final int maxBytes;

    /**
     * Creates a reader.
     *
     * @param maxBytes the maximum size of a body
     */
    public BodyReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reads the body of a request.
     *
     * @param req the HTTP request
     * @return the body, or a {@link RefusalException}
     */
    public Mono<byte[]> read(HttpServerRequest req) {
        String contentLength = req.requestHeaders().get("Content-Length");
        if (contentLength != null && contentLength.length() > 9
                || contentLength != null && Long.parseLong(contentLength) > maxBytes) {
            return Mono.error(tooLarge());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        return req.receive()
                .asByteArray()
                .<byte[]>handle((chunk, sink) -> {
                    body.writeBytes(chunk);
                    if (body.size() > maxBytes) {
                        sink.error(tooLarge());
                    }
                })
                .then(Mono.fromSupplier(body::toByteArray))
                .timeout(TIMEOUT)
                .onErrorMap(
                        TimeoutException.class,
                        e -> new RefusalException(ProblemType.BAD_REQUEST, "timed out while reading the body"));
    }

    private RefusalException tooLarge() {
        return new RefusalException(ProblemType.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
    }
}
