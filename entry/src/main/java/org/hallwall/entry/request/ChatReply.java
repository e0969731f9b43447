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

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.exchange.ChatMessage;

/**
 * Response body of a chat completion that is not streamed.
 *
 * @param id the request id
 * @param object the object type
 * @param created the creation time in seconds since the epoch
 * @param model the model name in the workspace
 * @param choices the generated choices; always one
 * @param usage the token usage, or null if the engine did not report it
 */
record ChatReply(String id, String object, long created, String model, List<Choice> choices, Usage usage) {

    private static final long MILLIS_PER_SECOND = 1_000;

    static ChatReply of(String id, String model, List<RunFrame> frames) {
        StringBuilder text = new StringBuilder();
        for (RunFrame f : frames) {
            if (f.text() != null) {
                text.append(f.text());
            }
        }
        RunFrame last = frames.get(frames.size() - 1);
        Choice choice = new Choice(0, new ChatMessage("assistant", text.toString()), finishReason(last));
        long now = System.currentTimeMillis() / MILLIS_PER_SECOND;
        return new ChatReply(id, "chat.completion", now, model, List.of(choice), Usage.of(last.usage()));
    }

    static String finishReason(RunFrame last) {
        return last.end() == RunFrame.End.LENGTH ? "length" : "stop";
    }

    /** A generated choice. */
    record Choice(
            int index,
            ChatMessage message,
            @JsonProperty("finish_reason") String finishReason) {}

    /** Token usage of a request. */
    record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens,
            @JsonProperty("cached_tokens") int cachedTokens) {

        static Usage of(RunFrame.Usage u) {
            if (u == null) {
                return null;
            }
            int total = u.promptTokens() + u.completionTokens();
            return new Usage(u.promptTokens(), u.completionTokens(), total, u.cachedTokens());
        }
    }
}
