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

import com.fasterxml.jackson.annotation.JsonInclude;
import org.hallwall.core.id.AttemptId;

/**
 * A frame of the output of a run, encoded as one line of JSON.
 *
 * @param attempt the attempt to which it belongs
 * @param n its number, starting at 0
 * @param text the generated text; null in the last frame
 * @param end how the run ended; null in all frames but the last
 * @param usage the token usage; null in all frames but the last
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RunFrame(AttemptId attempt, int n, String text, End end, Usage usage) {

    /** How a run ended. */
    public enum End {
        /** The output is complete. */
        STOP,
        /** The output reached the maximum number of tokens; it counts as complete. */
        LENGTH,
        /** The engine failed; the output is incomplete. */
        ERROR,
        /** The run was cancelled; the output is incomplete. */
        CANCELLED;

        /**
         * Returns whether the output is complete.
         *
         * @return true if so
         */
        public boolean isComplete() {
            return this == STOP || this == LENGTH;
        }
    }

    /**
     * The token usage of a run.
     *
     * @param promptTokens the number of prompt tokens
     * @param cachedTokens the number of prompt tokens found in the prefix cache
     * @param completionTokens the number of generated tokens
     */
    public record Usage(int promptTokens, int cachedTokens, int completionTokens) {}
}
