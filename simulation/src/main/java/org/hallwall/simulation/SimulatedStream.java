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
package org.hallwall.simulation;

/** A caller's response stream. */
final class SimulatedStream {

    final RequestClass requestClass;
    final long arrivalMillis;
    final double outputTokens;
    double promptTokensLeft;
    double generatedTokens;
    boolean retried;
    boolean firstTokenSent;
    boolean late;
    /** Time of the last event or, while a retry is pending, of that retry. */
    long lastOrNextEventMillis;

    SimulatedStream(RequestClass requestClass, long arrivalMillis, double promptTokens, double outputTokens) {
        this.requestClass = requestClass;
        this.arrivalMillis = arrivalMillis;
        this.outputTokens = Math.max(1, outputTokens);
        this.promptTokensLeft = promptTokens;
        this.promptTokens = promptTokens;
    }

    private final double promptTokens;

    /** Requires prefill of the prompt and all generated tokens, as after a move to another group. */
    void resetPrefill() {
        promptTokensLeft = promptTokens + generatedTokens;
    }

    /** Records an event and whether it misses the latency objective. */
    void recordEvent(long now) {
        if (!firstTokenSent) {
            late |= now - arrivalMillis > requestClass.firstTokenObjectiveMillis();
            firstTokenSent = true;
        } else {
            late |= now - lastOrNextEventMillis > requestClass.interTokenObjectiveMillis();
        }
        lastOrNextEventMillis = now;
    }
}
