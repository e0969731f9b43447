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

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.hallwall.core.settings.Json;
import org.hallwall.core.verdict.Problem;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.engine.RunFrame;

/** Encodes the frames of an answer as server-sent events with chat completion chunks. */
final class ChatStreamWriter {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String DONE = "data: [DONE]\n\n";

    private final String chunkPrefix;

    ChatStreamWriter(String id, String model) {
        long created = System.currentTimeMillis() / MILLIS_PER_SECOND;
        chunkPrefix = "data: {\"id\":\"" + id + "\",\"object\":\"chat.completion.chunk\",\"created\":" + created
                + ",\"model\":\"" + escapeJson(model) + "\",\"choices\":[{\"index\":0,\"delta\":{";
    }

    /** Encodes a batch into one buffer with one event per frame. */
    ByteBuf write(List<RunFrame> frames) {
        StringBuilder out = new StringBuilder();
        for (RunFrame frame : frames) {
            if (frame.end() != null) {
                out.append(chunkPrefix).append("},\"finish_reason\":\"").append(ChatReply.finishReason(frame));
                out.append("\"}]}\n\n").append(DONE);
            } else {
                out.append(chunkPrefix).append("\"content\":\"");
                JsonStringEncoder.getInstance().quoteAsString(frame.text() == null ? "" : frame.text(), out);
                out.append("\"},\"finish_reason\":null}]}\n\n");
            }
        }
        return toBuffer(out.toString());
    }

    /** Encodes the event that terminates an incomplete answer. */
    static ByteBuf writeError(RefusalException refusal, String requestId) {
        try {
            String problem = Json.MAPPER.writeValueAsString(Problem.of(refusal, requestId));
            return toBuffer("event: error\ndata: " + problem + "\n\n");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the problem", e);
        }
    }

    private static String escapeJson(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }

    private static ByteBuf toBuffer(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    }
}
