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

/** Cuts the bytes of a run's answer into frames; a frame may span several buffers. */
public final class RunFrameDecoder {

    /** The longest frame that is accepted, in bytes. */
    public static final int MAX_FRAME = 1024 * 1024;

    private static final ObjectReader READER = Json.MAPPER.readerFor(RunFrame.class);
    private static final byte NEWLINE = '\n';

    private byte[] rest = new byte[0];

    /**
     * Takes the next bytes.
     *
     * @param bytes the bytes; not released here
     * @return the frames that are complete now
     * @throws IOException if a frame is malformed or too long
     */
    public List<RunFrame> take(ByteBuf bytes) throws IOException {
        byte[] all = join(bytes);
        List<RunFrame> frames = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < all.length; i++) {
            if (all[i] == NEWLINE) {
                if (i > start) {
                    frames.add(READER.readValue(all, start, i - start));
                }
                start = i + 1;
            }
        }
        rest = Arrays.copyOfRange(all, start, all.length);
        if (rest.length > MAX_FRAME) {
            throw new IOException("a frame is longer than " + MAX_FRAME + " bytes");
        }
        return frames;
    }

    private byte[] join(ByteBuf bytes) {
        int fresh = bytes.readableBytes();
        byte[] all = Arrays.copyOf(rest, rest.length + fresh);
        bytes.readBytes(all, rest.length, fresh);
        return all;
    }
}
