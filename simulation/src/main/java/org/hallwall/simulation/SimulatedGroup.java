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

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.group.TargetOrder;

/** A serving group with continuous batching: each step decodes active streams and prefills prompts in chunks. */
final class SimulatedGroup {

    /** Decoding steps that are simulated at once; each decoding stream emits one event for them. */
    private static final int STEPS_PER_EVENT = 5;

    private final TargetOrder.Join joinOrder;
    private final int slots;
    private final double timeFactor;
    private final EngineTiming timing;
    private final List<SimulatedStream> streams = new ArrayList<>();
    private double clockMillis;

    SimulatedGroup(TargetOrder.Join join, EngineSpec spec, EngineTiming timing, long now) {
        this.joinOrder = join;
        this.slots = spec.slots();
        this.timeFactor = spec.model(join.model()).timeFactor();
        this.timing = timing;
        this.clockMillis = now;
    }

    String name() {
        return joinOrder.group();
    }

    String model() {
        return joinOrder.model();
    }

    InstanceId head() {
        return joinOrder.members().get(0);
    }

    List<InstanceId> members() {
        return joinOrder.members();
    }

    int activeStreams() {
        return streams.size();
    }

    int slots() {
        return slots;
    }

    void addStream(SimulatedStream s, long now) {
        clockMillis = Math.max(clockMillis, streams.isEmpty() ? now : clockMillis);
        streams.add(s);
    }

    List<SimulatedStream> removeAllStreams() {
        List<SimulatedStream> out = new ArrayList<>(streams);
        streams.clear();
        return out;
    }

    /** Advances the clock without progress. */
    void stallUntil(long until) {
        clockMillis = Math.max(clockMillis, until);
    }

    /** Runs steps until the given time and passes completed streams to the consumer. */
    void advanceTo(long until, Consumer<SimulatedStream> ended) {
        while (clockMillis < until && !streams.isEmpty()) {
            step(ended);
        }
        clockMillis = Math.max(clockMillis, until);
    }

    private void step(Consumer<SimulatedStream> ended) {
        int batchSize = Math.min(slots, streams.size());
        int decodingCount = 0;
        double prefillBudget = (double) timing.prefillChunkTokens() * STEPS_PER_EVENT;
        double prefilledTokens = 0;
        List<SimulatedStream> decoding = new ArrayList<>();
        for (SimulatedStream s : streams.subList(0, batchSize)) {
            if (s.promptTokensLeft > 0) {
                double tokens = Math.min(s.promptTokensLeft, prefillBudget - prefilledTokens);
                s.promptTokensLeft -= tokens;
                prefilledTokens += tokens;
            } else {
                decodingCount++;
                decoding.add(s);
            }
        }
        int steps = decodingCount == 0 ? 1 : STEPS_PER_EVENT;
        clockMillis += timeFactor
                * (steps * (timing.stepMillis() + decodingCount * timing.perSequenceMillis())
                        + prefilledTokens / timing.prefillTokensPerMilli());
        for (SimulatedStream s : decoding) {
            s.generatedTokens += steps;
            s.recordEvent((long) clockMillis);
        }
        for (Iterator<SimulatedStream> it = streams.iterator(); it.hasNext(); ) {
            SimulatedStream s = it.next();
            if (s.generatedTokens >= s.outputTokens) {
                it.remove();
                ended.accept(s);
            }
        }
    }
}
