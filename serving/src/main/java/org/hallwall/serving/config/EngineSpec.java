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
 * What is known of the model engines of a service.
 *
 * @param slots how many requests a group runs at once
 * @param models the models
 * @param loadsPerSecond how many loads from the weight store may begin each second
 * @param loadsAtOnce how many loads run at full speed
 * @param farFactor how much slower a group over several fabric domains runs
 * @param formMillis the time from the order to open until a head serves, in milliseconds
 */
public record EngineSpec(
        int slots,
        List<EngineModel> models,
        double loadsPerSecond,
        int loadsAtOnce,
        double farFactor,
        double formMillis) {

    /**
     * Finds a model.
     *
     * @param name the model's name
     * @return the model, or null
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
