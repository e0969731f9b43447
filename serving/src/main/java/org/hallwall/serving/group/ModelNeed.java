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
package org.hallwall.serving.group;

import java.util.HashMap;
import java.util.Map;

import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;

/** Weighs which model lacks groups most. */
final class ModelNeed {

    /** Keeps the need of a model without any group finite, and above that of all others. */
    private static final double NONE_YET = 0.25;

    /** Below this many streams in progress what is asked for is not yet known. */
    private static final int FEW_STREAMS = 12;

    private final EngineSpec spec;
    private final Map<String, Integer> streams;
    private final Map<String, Integer> groups = new HashMap<>();

    ModelNeed(EngineSpec spec, Map<String, Integer> streams) {
        this.spec = spec;
        this.streams = streams;
    }

    void add(String model, int count) {
        groups.merge(model, count, Integer::sum);
    }

    /** A model's part of the groups that are wanted, against the groups that it has. */
    double of(EngineModel m) {
        return wanted(m) / (groups.getOrDefault(m.name(), 0) + NONE_YET);
    }

    /** The mean of what is declared and what is asked for: streams in progress fill the slots of groups. */
    private double wanted(EngineModel m) {
        double allDeclared = 0;
        int allStreams = 0;
        for (EngineModel other : spec.models()) {
            allDeclared += other.share() / other.size();
            allStreams += streams.getOrDefault(other.name(), 0);
        }
        double declared = m.share() / m.size() / allDeclared;
        if (allStreams < FEW_STREAMS) {
            return declared;
        }
        return (declared + (double) streams.getOrDefault(m.name(), 0) / allStreams) / 2;
    }

    EngineSpec spec() {
        return spec;
    }
}
