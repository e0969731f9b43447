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
package org.hallwall.serving.relay;

/** Decides whether the groups of a model have capacity for another stream. */
public final class StreamCapacity {

    /** Maximum utilization of the slots for new streams; above it, further streams would wait for a slot. */
    private static final double MAX_UTILIZATION = 0.95;
    /** Maximum utilization of the slots for retried streams. */
    private static final double MAX_RETRY_UTILIZATION = 0.85;

    private StreamCapacity() {}

    /**
     * Returns whether another stream can be admitted.
     *
     * @param running the active streams at all groups of the model
     * @param slots the slots of these groups, reduced for slower groups
     * @param retried whether the stream is retried after a refusal
     * @return true if there is capacity
     */
    public static boolean hasCapacity(double running, double slots, boolean retried) {
        return running < slots * (retried ? MAX_RETRY_UTILIZATION : MAX_UTILIZATION);
    }
}
