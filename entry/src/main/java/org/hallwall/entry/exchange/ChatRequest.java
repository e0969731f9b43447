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
package org.hallwall.entry.exchange;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import org.hallwall.core.settings.Json;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;

/**
 * The body of a chat completion request; unknown members are ignored.
 *
 * @param model the name of the model in the workspace
 * @param messages the conversation
 * @param maxTokens the maximum number of tokens to generate; null for the default
 * @param stream whether the answer is streamed
 */
public record ChatRequest(
        String model,
        List<ChatMessage> messages,

        @JsonProperty("max_tokens") @JsonAlias("max_completion_tokens")
        Integer maxTokens,

        boolean stream) {

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 131_072;

    /**
     * Parses and validates a body.
     *
     * @param body the body
     * @return the request
     * @throws RefusalException if the body is malformed
     */
    public static ChatRequest parse(byte[] body) throws RefusalException {
        ChatRequest r;
        try {
            r = Json.MAPPER.readValue(body, ChatRequest.class);
        } catch (JsonProcessingException e) {
            throw badRequest("the body is not a chat completion request in JSON");
        } catch (IOException e) {
            throw badRequest("the body cannot be read");
        }
        validate(r);
        return r;
    }

    private static void validate(ChatRequest r) throws RefusalException {
        if (r == null || r.model() == null || r.model().isBlank()) {
            throw badRequest("model is missing");
        }
        if (r.messages() == null || r.messages().isEmpty()) {
            throw badRequest("messages are missing");
        }
        for (ChatMessage m : r.messages()) {
            if (m == null || m.role() == null || m.content() == null) {
                throw badRequest("each message needs a role and a content of text");
            }
        }
        if (r.maxTokens() != null && (r.maxTokens() < 1 || r.maxTokens() > MAX_TOKENS_LIMIT)) {
            throw badRequest("max_tokens must be from 1 to " + MAX_TOKENS_LIMIT);
        }
    }

    /**
     * Returns the maximum number of tokens to generate.
     *
     * @return the requested maximum, or the default
     */
    public int tokenLimit() {
        return maxTokens == null ? DEFAULT_MAX_TOKENS : maxTokens;
    }

    /**
     * Joins the messages to a single prompt.
     *
     * @return the prompt
     */
    public String prompt() {
        StringBuilder out = new StringBuilder();
        for (ChatMessage m : messages) {
            out.append(m.role()).append(": ").append(m.content()).append('\n');
        }
        return out.toString();
    }

    private static RefusalException badRequest(String detail) {
        return new RefusalException(ProblemType.BAD_REQUEST, detail);
    }
}
