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
import org.hallwall.core.verdict.Verdict;
import org.hallwall.program.BodyTooLargeException;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/** Reads the body of a response as a whole into reserved memory. */
final class ResponseBody {

    private final ReservedBuffer buffer;
    private final BodyMemory.Reservation memory;

    private ResponseBody(BodyMemory.Reservation memory) {
        this.buffer = new ReservedBuffer(BufferedResponse.MAX_BODY_BYTES, memory);
        this.memory = memory;
    }

    /**
     * Reads a complete body. If it is too large or does not fit into the memory, reading is cancelled, which closes the connection.
     *
     * @param body the body as it is received
     * @param memory the memory for the body
     * @return the body, or a {@link BodyTooLargeException} or an {@link AttemptFailure}
     */
    static Mono<byte[]> read(ByteBufFlux body, BodyMemory.Reservation memory) {
        ResponseBody response = new ResponseBody(memory);
        return body.doOnNext(response::append)
                .then(Mono.fromSupplier(response.buffer::toByteArray))
                .onErrorMap(Exceptions::unwrap);
    }

    private void append(ByteBuf chunk) {
        if (!buffer.fits(chunk.readableBytes())) {
            throw Exceptions.propagate(new BodyTooLargeException(BufferedResponse.MAX_BODY_BYTES));
        }
        if (!buffer.tryAppend(chunk)) {
            throw Exceptions.propagate(noMemory(memory, buffer.size()));
        }
    }

    /** Returns the failure of an attempt whose response does not fit into the memory. */
    static AttemptFailure noMemory(BodyMemory.Reservation memory, int readBytes) {
        return new AttemptFailure(
                Verdict.RAN, "no memory for the response after " + readBytes + " bytes, " + memory.describe());
    }
}
