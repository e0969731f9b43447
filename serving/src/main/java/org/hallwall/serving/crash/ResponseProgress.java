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
package org.hallwall.serving.crash;

/** How much of a response a target has sent. */
public enum ResponseProgress {
    /** Nothing: the request may still wait at the target. */
    NONE,
    /** The head and at most a little output: the target has begun to write the response. */
    BEGUN,
    /** Output that shows that the prompt has not crashed the target. */
    ESTABLISHED;

    /** Events after which a stream is established; a target may send the first one before it crashes. */
    private static final int ESTABLISHED_EVENTS = 2;

    /**
     * Returns the progress of a stream.
     *
     * @param headReceived whether the head of the response has been received
     * @param events the number of events received
     * @return the progress
     */
    public static ResponseProgress ofStream(boolean headReceived, int events) {
        if (events >= ESTABLISHED_EVENTS) {
            return ESTABLISHED;
        }
        return headReceived ? BEGUN : NONE;
    }
}
