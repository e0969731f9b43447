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

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.hallwall.core.verdict.Verdict;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads the body of a client request into reserved memory. */
final class RequestBody {

    /** Maximum length of a Content-Length value; longer ones exceed every limit. */
    private static final int MAX_LENGTH_DIGITS = 9;

    /** Retry-After if the bodies in flight hold all memory, in milliseconds; about the time to serve some of them. */
    private static final long MEMORY_RETRY_AFTER_MILLIS = 500;

    private final int maxBytes;
    private final ReservedBuffer buffer;

    private RequestBody(int maxBytes, BodyMemory.Reservation memory) {
        this.maxBytes = maxBytes;
        this.buffer = new ReservedBuffer(maxBytes, memory);
    }

    /**
     * Reads a complete body. If its length is known, its memory is reserved before it is read.
     *
     * @param req the request
     * @param maxBytes the maximum size of the body, in bytes
     * @param memory the memory for the body
     * @return the body, or a {@link RelayRefusal} if it is too large or does not fit into the memory
     */
    static Mono<byte[]> read(HttpServerRequest req, int maxBytes, BodyMemory.Reservation memory) {
        RequestBody body = new RequestBody(maxBytes, memory);
        try {
            String length = req.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
            if (length != null) {
                body.allocate(length.length() > MAX_LENGTH_DIGITS ? Long.MAX_VALUE : Long.parseLong(length));
            }
        } catch (RelayRefusal e) {
            return Mono.error(e);
        }
        return req.receive()
                .doOnNext(body::append)
                .then(Mono.fromSupplier(body.buffer::toByteArray))
                .onErrorMap(Exceptions::unwrap);
    }

    private void append(ByteBuf chunk) {
        if (!buffer.fits(chunk.readableBytes())) {
            throw Exceptions.propagate(tooLarge());
        }
        if (!buffer.tryAppend(chunk)) {
            throw Exceptions.propagate(noMemory());
        }
    }

    private void allocate(long capacity) throws RelayRefusal {
        if (capacity > maxBytes) {
            throw tooLarge();
        }
        if (!buffer.tryAllocate((int) capacity)) {
            throw noMemory();
        }
    }

    private static RelayRefusal noMemory() {
        return RelayRefusal.notRun("the bodies of other requests hold all memory", MEMORY_RETRY_AFTER_MILLIS);
    }

    private static RelayRefusal tooLarge() {
        return new RelayRefusal(413, Verdict.NOT_RUN, "the request body is too large", 0);
    }
}
