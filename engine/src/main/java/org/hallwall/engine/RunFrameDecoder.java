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
package org.hallwall.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectReader;
import io.netty.buffer.ByteBuf;
import org.hallwall.core.settings.Json;

/** Decodes the byte stream of a run into frames. A frame may span several buffers. */
public final class RunFrameDecoder {

    /** The maximum size of a frame, in bytes. */
    public static final int MAX_FRAME = 1024 * 1024;

    private static final ObjectReader READER = Json.MAPPER.readerFor(RunFrame.class);
    private static final byte NEWLINE = '\n';

    private byte[] remainder = new byte[0];

    /**
     * Decodes the next buffer.
     *
     * @param bytes the buffer; the caller releases it
     * @return the frames completed by this buffer
     * @throws IOException if a frame is malformed or too large
     */
    public List<RunFrame> decode(ByteBuf bytes) throws IOException {
        byte[] buffer = appendToRemainder(bytes);
        List<RunFrame> frames = new ArrayList<>();
        int frameStart = 0;
        for (int i = 0; i < buffer.length; i++) {
            if (buffer[i] == NEWLINE) {
                if (i > frameStart) {
                    frames.add(READER.readValue(buffer, frameStart, i - frameStart));
                }
                frameStart = i + 1;
            }
        }
        remainder = Arrays.copyOfRange(buffer, frameStart, buffer.length);
        if (remainder.length > MAX_FRAME) {
            throw new IOException("frame exceeds " + MAX_FRAME + " bytes");
        }
        return frames;
    }

    private byte[] appendToRemainder(ByteBuf bytes) {
        int length = bytes.readableBytes();
        byte[] buffer = Arrays.copyOf(remainder, remainder.length + length);
        bytes.readBytes(buffer, remainder.length, length);
        return buffer;
    }
}
