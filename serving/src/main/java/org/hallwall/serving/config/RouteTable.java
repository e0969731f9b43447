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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Immutable lookup of the route and the workspace of a request in one configuration. */
public final class RouteTable {

    private final Configuration configuration;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, WorkspaceKeys> workspacesByKey = new HashMap<>();

    /**
     * Creates the table.
     *
     * @param configuration the configuration
     */
    public RouteTable(Configuration configuration) {
        this.configuration = configuration;
        for (Route r : configuration.routes()) {
            routesByHost
                    .computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(r);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        routesByHost.values().forEach(routes -> routes.sort(longestFirst));
        for (WorkspaceKeys w : configuration.workspaces()) {
            w.keys().forEach(k -> workspacesByKey.put(k, w));
        }
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the route with the longest matching prefix.
     *
     * @param host the host of the request, with or without a port; may be null
     * @param path the path, with or without a query
     * @return the route, or null if none matches
     */
    public Route findRoute(String host, String path) {
        if (host == null) {
            return null;
        }
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        int query = path.indexOf('?');
        String pathOnly = query < 0 ? path : path.substring(0, query);
        for (Route r : routesByHost.getOrDefault(name, List.of())) {
            if (pathOnly.startsWith(r.pathPrefix())) {
                return r;
            }
        }
        return null;
    }

    /**
     * Returns the workspace of a key.
     *
     * @param key the key; may be null
     * @return the workspace, or null if the key is unknown
     */
    public WorkspaceKeys findWorkspace(String key) {
        return key == null ? null : workspacesByKey.get(key);
    }

    /**
     * Returns whether requests need a key.
     *
     * @return true if the configuration has workspaces
     */
    public boolean requiresKeys() {
        return !configuration.workspaces().isEmpty();
    }
}
