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

import java.util.List;

import org.hallwall.serving.config.EngineSpec;

/**
 * A deployment and its load.
 *
 * @param failureDomains the number of failure domains
 * @param fabricDomains the number of fabric domains, assigned to failure domains round-robin
 * @param enginesPerDomain the number of engines in each fabric domain
 * @param spec the engine specification
 * @param timing the step timing of the engines
 * @param requestClasses the offered load
 * @param faults the injected faults
 * @param warmUpMillis the time before the first request; weight loads started in it take a tenth of their duration
 * @param durationMillis the time during which requests arrive
 */
public record SimulationScenario(
        int failureDomains,
        int fabricDomains,
        int enginesPerDomain,
        EngineSpec spec,
        EngineTiming timing,
        List<RequestClass> requestClasses,
        FaultSchedule faults,
        long warmUpMillis,
        long durationMillis) {}
