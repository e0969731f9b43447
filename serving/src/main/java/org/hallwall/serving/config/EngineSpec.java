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
package org.hallwall.serving.config;

import java.util.List;

/**
 * The parameters of the model engines of a service.
 *
 * @param slots the number of concurrent requests of a group
 * @param models the models
 * @param maxLoadsPerSecond the maximum rate at which loads from the weight store start
 * @param maxConcurrentLoads the number of concurrent loads that run at full speed
 * @param crossDomainFactor the factor by which a cross-domain group is slower
 * @param openMillis the time from the order to open until a head serves, in milliseconds
 */
public record EngineSpec(
        int slots,
        List<EngineModel> models,
        double maxLoadsPerSecond,
        int maxConcurrentLoads,
        double crossDomainFactor,
        double openMillis) {

    /**
     * Returns a model by name.
     *
     * @param name the model's name
     * @return the model, or null if there is none
     */
    public EngineModel model(String name) {
        for (EngineModel m : models) {
            if (m.name().equals(name)) {
                return m;
            }
        }
        return null;
    }
}
