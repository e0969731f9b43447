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
package org.hallwall.fakes;

/**
 * Faults injected into a fake target.
 *
 * @param dead whether the target closes all connections and stops announcing
 * @param paused whether the target suspends all processing
 * @param leaving whether the target announces that it is shutting down
 * @param slowFactor the factor by which generation is slowed down; one is normal speed
 * @param dieAfterToken the token of a run at which the target dies; negative disables the fault
 * @param cutAfterToken the token of a run at which the connection is dropped while the run continues; negative disables the fault
 * @param foreignFrames whether frames of another attempt are mixed into responses
 * @param doubledFrames whether each frame is sent twice
 * @param silentRuns whether runs are executed without sending frames
 * @param cutService whether a plain service drops the connection after executing a call
 */
public record FakeFaults(
        boolean dead,
        boolean paused,
        boolean leaving,
        double slowFactor,
        int dieAfterToken,
        int cutAfterToken,
        boolean foreignFrames,
        boolean doubledFrames,
        boolean silentRuns,
        boolean cutService) {

    /** No faults. */
    public static final FakeFaults NONE = new FakeFaults(false, false, false, 1, -1, -1, false, false, false, false);
}
