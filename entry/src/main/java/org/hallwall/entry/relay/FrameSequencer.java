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
package org.hallwall.entry.relay;

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.AttemptId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.EngineException;
import org.hallwall.engine.RunFrame;

/** Passes on the frames of one attempt in order and exactly once. Drops duplicates and frames of other attempts. */
final class FrameSequencer {

    private final AttemptId attempt;
    private final RelayMetrics metrics;
    private int nextIndex;
    private boolean ended;

    FrameSequencer(AttemptId attempt, RelayMetrics metrics) {
        this.attempt = attempt;
        this.metrics = metrics;
    }

    /** Returns the new frames of a batch. Throws an exception if the batch leaves a gap in the sequence. */
    List<RunFrame> accept(List<RunFrame> batch) throws EngineException {
        List<RunFrame> accepted = new ArrayList<>(batch.size());
        for (RunFrame frame : batch) {
            if (!attempt.equals(frame.attempt())) {
                metrics.countForeignFrame();
            } else if (frame.n() < nextIndex || ended) {
                metrics.countDuplicateFrame();
            } else if (frame.n() > nextIndex) {
                throw new EngineException(Verdict.MAY_HAVE_RUN, "frame " + nextIndex + " was not received");
            } else {
                nextIndex++;
                ended = frame.end() != null;
                accepted.add(frame);
            }
        }
        metrics.countRelayedFrames(accepted.size());
        return accepted;
    }

    int nextIndex() {
        return nextIndex;
    }

    boolean hasEnded() {
        return ended;
    }
}
