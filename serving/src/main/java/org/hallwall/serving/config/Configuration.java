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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A complete configuration.
 *
 * @param version the operator's version
 * @param routes the routes
 * @param services the services by name
 * @param workspaces the workspaces with their keys
 * @param limits the limits of callers
 */
public record Configuration(
        long version,
        List<Route> routes,
        Map<String, TargetService> services,
        List<WorkspaceKeys> workspaces,
        CallerLimits limits) {

    /** The empty configuration before the first one is received. */
    public static final Configuration EMPTY =
            new Configuration(0, List.of(), Map.of(), List.of(), CallerLimits.DEFAULT);

    /**
     * Returns the services that have model engines.
     *
     * @return the services by name
     */
    public Map<String, TargetService> engineServices() {
        Map<String, TargetService> out = new LinkedHashMap<>();
        for (TargetService s : services.values()) {
            if (s.engine() != null) {
                out.put(s.name(), s);
            }
        }
        return out;
    }
}
