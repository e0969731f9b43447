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

/** Writes the frames of an answer as server-sent events of chat completion chunks. */
final class ChatStreamWriter {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String DONE = "data: [DONE]\n\n";

    private final String before;

    ChatStreamWriter(String id, String model) {
        long created = System.currentTimeMillis() / MILLIS_PER_SECOND;
        before = "data: {\"id\":\"" + id + "\",\"object\":\"chat.completion.chunk\",\"created\":" + created
                + ",\"model\":\"" + quoted(model) + "\",\"choices\":[{\"index\":0,\"delta\":{";
    }

    /** One buffer a batch, one event a frame. */
    ByteBuf write(List<RunFrame> frames) {
        StringBuilder out = new StringBuilder();
        for (RunFrame f : frames) {
            if (f.end() != null) {
                out.append(before).append("},\"finish_reason\":\"").append(ChatReply.finishReason(f));
                out.append("\"}]}\n\n").append(DONE);
            } else {
                out.append(before).append("\"content\":\"");
                JsonStringEncoder.getInstance().quoteAsString(f.text() == null ? "" : f.text(), out);
                out.append("\"},\"finish_reason\":null}]}\n\n");
            }
        }
        return bytes(out.toString());
    }

    /** The last event of an answer that cannot be delivered whole. */
    static ByteBuf writeError(RefusalException refusal, String requestId) {
        try {
            String problem = Json.MAPPER.writeValueAsString(Problem.of(refusal, requestId));
            return bytes("event: error\ndata: " + problem + "\n\n");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a problem cannot be written", e);
        }
    }

    private static String quoted(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    }
}
