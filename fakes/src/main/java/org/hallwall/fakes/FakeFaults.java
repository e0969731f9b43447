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
 * The faults switched on at a stand-in target.
 *
 * @param dead whether it neither listens nor announces
 * @param paused whether it stands still
 * @param leaving whether it announces that it is about to stop
 * @param slowFactor how many times slower it generates; one is normal speed
 * @param dieAfterToken at which token of a run it dies; negative for never
 * @param cutAfterToken at which token of a run it cuts the connection once, the run going on; negative for never
 * @param foreignFrames whether it mixes frames of another attempt into its answers
 * @param doubledFrames whether it sends each frame twice
 * @param silentRuns whether it runs requests without answering
 * @param cutService whether a plain service cuts the connection after it has run a call
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
