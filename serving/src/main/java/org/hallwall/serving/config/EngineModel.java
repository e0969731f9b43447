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

/**
 * A model that the engines of a service can serve.
 *
 * @param name the model's name
 * @param size the number of engines of a group
 * @param share its declared share of the demand
 * @param timeFactor a factor on the processing times of a group
 * @param storeLoadSeconds the duration of a load from the weight store, in seconds
 * @param hostLoadSeconds the duration of a load from the host, in seconds
 */
public record EngineModel(
        String name, int size, double share, double timeFactor, double storeLoadSeconds, double hostLoadSeconds) {}
