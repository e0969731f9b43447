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

/**
 * The number of groups that each model needs for its demand, and the utility of a number of groups.
 *
 * <p>Utility is measured in useful engines. The first groups of a model serve most of its streams; further ones reduce the time to
 * the first event and tolerate losses. The marginal utility falls with each group of a model but never reaches zero.
 */
final class ModelDemand {

    /** The slot utilization up to which first events are in time, since prompts are processed along with running streams. */
    private static final double TARGET_UTILIZATION = 0.6;
    /** The rate at which marginal utility falls; the desired number of groups yields 0.78 of a model's maximum utility. */
    private static final double UTILITY_DECAY = 1.5;
    /** The minimum number of streams for an estimate of demand. */
    private static final double MIN_STREAMS = 12;
    /** The weight of the declared shares against measured demand, since callers may switch models at any time. */
    private static final double DECLARED_WEIGHT = 0.25;

    private final EngineSpec spec;
    private final Map<String, Double> desiredGroups = new HashMap<>();

    /**
     * Estimates the demand.
     *
     * @param spec the parameters of the service's engines
     * @param streams the streams in progress or refused, by model
     * @param engines the number of engines
     */
    ModelDemand(EngineSpec spec, Map<String, Double> streams, int engines) {
        this.spec = spec;
        double totalShares = 0;
        double totalStreams = 0;
        for (EngineModel m : spec.models()) {
            totalShares += m.share();
            totalStreams += streams.getOrDefault(m.name(), 0.0);
        }
        for (EngineModel m : spec.models()) {
            double declared = m.share() / totalShares * engines / m.size();
            double measured = streams.getOrDefault(m.name(), 0.0) / (spec.slots() * TARGET_UTILIZATION);
            double weighted = DECLARED_WEIGHT * declared + (1 - DECLARED_WEIGHT) * measured;
            desiredGroups.put(m.name(), Math.max(Double.MIN_NORMAL, totalStreams < MIN_STREAMS ? declared : weighted));
        }
    }

    EngineSpec spec() {
        return spec;
    }

    /** Returns the number of groups that a model should have. */
    double desiredGroupCount(EngineModel m) {
        return desiredGroups.get(m.name());
    }

    /**
     * Returns the utility of a number of groups for a fraction of the demand.
     *
     * @param m the model
     * @param count the number of groups that serve the fraction
     * @param fraction the fraction of the model's demand
     * @return the utility, in engines
     */
    double utility(EngineModel m, double count, double fraction) {
        double desired = desiredGroupCount(m) * fraction;
        return m.size() * desired * (1 - Math.exp(-UTILITY_DECAY * count / desired));
    }

    /** Returns the utility of one more group, in engines, when a model has a number of groups. */
    double marginalUtility(EngineModel m, double count) {
        return utility(m, count + 1, 1) - utility(m, count, 1);
    }
}
