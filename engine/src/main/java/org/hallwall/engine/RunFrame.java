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
 * One frame of a run's answer, as one line of JSON.
 *
 * @param attempt the attempt that it belongs to
 * @param n its number, from 0
 * @param text the generated text; null in the last frame
 * @param end how the run ended; null in all frames but the last
 * @param usage the tokens used; only in the last frame
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RunFrame(AttemptId attempt, int n, String text, End end, Usage usage) {

    /** How a run ended. */
    public enum End {
        /** The answer is whole. */
        STOP,
        /** The answer has reached the most tokens; it is whole in that sense. */
        LENGTH,
        /** The engine failed; the answer is not whole. */
        ERROR,
        /** The run was cancelled; the answer is not whole. */
        CANCELLED;

        /**
         * Says whether the answer is whole.
         *
         * @return true if it is
         */
        public boolean isWhole() {
            return this == STOP || this == LENGTH;
        }
    }

    /**
     * The tokens used by a run.
     *
     * @param promptTokens the tokens of the prompt
     * @param cachedTokens how many of them the prefix cache held
     * @param completionTokens the tokens generated
     */
    public record Usage(int promptTokens, int cachedTokens, int completionTokens) {}
}
