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

import java.util.Map;

import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;

/**
 * The number of groups of each model that every fabric domain should have.
 *
 * @param demand the demand that the packing was computed for
 * @param domains the capacity that the packing was computed for, by fabric domain
 * @param counts the number of groups by fabric domain and model
 */
public record Packing(
        ModelDemand demand, Map<String, DomainCapacity> domains, Map<String, Map<String, Integer>> counts) {

    /** The packing before the first computation. */
    static final Packing NONE = new Packing(null, Map.of(), Map.of());

    /** Returns the number of groups of a model that a domain should have. */
    int groupCount(String domain, String model) {
        return counts.getOrDefault(domain, Map.of()).getOrDefault(model, 0);
    }

    /** Returns the number of groups of a model that a domain lacks; negative if it has a surplus. */
    int deficit(String domain, String model) {
        DomainCapacity d = domains.get(domain);
        return d == null ? 0 : groupCount(domain, model) - d.groupCount(model);
    }

    /** Returns the number of engines of a domain that should stay free as spares. */
    int spareCount(EngineSpec spec, String domain) {
        DomainCapacity d = domains.get(domain);
        if (d == null) {
            return 0;
        }
        int out = d.engines();
        for (EngineModel m : spec.models()) {
            out -= groupCount(domain, m.name()) * m.size();
        }
        return out;
    }
}
