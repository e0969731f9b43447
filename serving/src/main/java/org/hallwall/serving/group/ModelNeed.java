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

    private final EngineSpec spec;
    private final Map<String, Integer> groups = new HashMap<>();

    ModelNeed(EngineSpec spec) {
        this.spec = spec;
    }

    void add(String model, int count) {
        groups.merge(model, count, Integer::sum);
    }

    /** A model's part of the work, in engines, against the groups that it has. */
    double of(EngineModel m) {
        return m.share() / m.size() / (groups.getOrDefault(m.name(), 0) + NONE_YET);
    }

    EngineSpec spec() {
        return spec;
    }
}
