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
package org.hallwall.serving.relay;

import java.io.ByteArrayOutputStream;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.hallwall.core.verdict.Verdict;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads the bodies of client requests. */
final class RequestBody {

    /** Maximum length of a Content-Length value; longer ones exceed every limit. */
    private static final int MAX_LENGTH_DIGITS = 9;

    private RequestBody() {}

    /**
     * Reads a complete body.
     *
     * @param req the request
     * @param maxBytes the maximum size of the body, in bytes
     * @return the body, or a {@link RelayRefusal} if it is too large
     */
    static Mono<byte[]> read(HttpServerRequest req, int maxBytes) {
        String length = req.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && (length.length() > MAX_LENGTH_DIGITS || Long.parseLong(length) > maxBytes)) {
            return Mono.error(tooLarge());
        }
        return req.receive()
                .asByteArray()
                .collect(ByteArrayOutputStream::new, (out, chunk) -> {
                    if (out.size() + chunk.length > maxBytes) {
                        throw Exceptions.propagate(tooLarge());
                    }
                    out.writeBytes(chunk);
                })
                .map(ByteArrayOutputStream::toByteArray)
                .onErrorMap(Exceptions::unwrap);
    }

    private static RelayRefusal tooLarge() {
        return new RelayRefusal(413, Verdict.NOT_RUN, "the request body is too large", 0);
    }
}
