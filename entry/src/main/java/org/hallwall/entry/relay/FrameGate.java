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

/** Lets the frames of one attempt through once each and in order; drops those of others and those that come again. */
final class FrameGate {

    private final AttemptId attempt;
    private final RelayCounters counters;
    private int next;
    private boolean ended;

    FrameGate(AttemptId attempt, RelayCounters counters) {
        this.attempt = attempt;
        this.counters = counters;
    }

    /** Gives the frames of a batch that are new; throws if one is missing or if the engine failed. */
    List<RunFrame> pass(List<RunFrame> batch) throws EngineException {
        List<RunFrame> out = new ArrayList<>(batch.size());
        for (RunFrame f : batch) {
            if (!attempt.equals(f.attempt())) {
                counters.droppedForeign();
            } else if (f.n() < next || ended) {
                counters.droppedDoubled();
            } else if (f.n() > next) {
                throw new EngineException(Verdict.MAY_HAVE_RUN, "frame " + next + " is missing");
            } else {
                next++;
                ended = f.end() != null;
                out.add(f);
            }
        }
        counters.relayed(out.size());
        return out;
    }

    int next() {
        return next;
    }

    boolean hasEnded() {
        return ended;
    }
}
