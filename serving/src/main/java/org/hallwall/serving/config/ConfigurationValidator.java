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

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Validates a parsed configuration; an invalid one is rejected as a whole. */
public final class ConfigurationValidator {

    private ConfigurationValidator() {}

    /**
     * Validates a configuration.
     *
     * @param c the configuration
     * @throws ConfigurationException if it is not valid
     */
    public static void validate(Configuration c) throws ConfigurationException {
        if (c.version() <= 0) {
            throw new ConfigurationException("the version must be above zero");
        }
        checkRoutes(c);
        checkKeys(c);
    }

    private static void checkRoutes(Configuration c) throws ConfigurationException {
        Map<String, Set<String>> prefixesByHost = new HashMap<>();
        String lastHost = null;
        Set<String> prefixes = null;
        for (Route r : c.routes()) {
            if (!r.host().equals(lastHost)) {
                lastHost = r.host();
                prefixes = prefixesByHost.computeIfAbsent(lastHost, h -> new HashSet<>());
            }
            if (!prefixes.add(r.pathPrefix())) {
                throw new ConfigurationException("route " + r.name() + " shares host and prefix with another");
            }
            if (r.timeoutMillis() <= 0) {
                throw new ConfigurationException("route " + r.name() + " has no timeout");
            }
            checkSplit(c, r);
        }
    }

    private static void checkSplit(Configuration c, Route r) throws ConfigurationException {
        long sum = 0;
        for (Route.WeightedService s : r.weightedServices()) {
            if (!c.services().containsKey(s.service())) {
                throw new ConfigurationException("route " + r.name() + " names an unknown service");
            }
            if (s.weight() < 0) {
                throw new ConfigurationException("route " + r.name() + " has a negative weight");
            }
            sum += s.weight();
        }
        if (sum <= 0) {
            throw new ConfigurationException("the weights of route " + r.name() + " sum to zero");
        }
    }

    private static void checkKeys(Configuration c) throws ConfigurationException {
        Map<String, String> owners = new HashMap<>();
        for (WorkspaceKeys w : c.workspaces()) {
            for (String key : w.keys()) {
                String other = owners.put(key, w.name());
                if (other != null && !other.equals(w.name())) {
                    throw new ConfigurationException("workspaces " + other + " and " + w.name() + " share a key");
                }
            }
        }
    }
}
