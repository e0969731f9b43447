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

/** Finds the route and the workspace of a request; it belongs to one configuration and never changes. */
public final class RouteTable {

    private final Configuration configuration;
    private final Map<String, List<Route>> byHost = new HashMap<>();
    private final Map<String, WorkspaceKeys> byKey = new HashMap<>();

    /**
     * Creates the table.
     *
     * @param configuration the configuration
     */
    public RouteTable(Configuration configuration) {
        this.configuration = configuration;
        for (Route r : configuration.routes()) {
            byHost.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(r);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        byHost.values().forEach(routes -> routes.sort(longestFirst));
        for (WorkspaceKeys w : configuration.workspaces()) {
            w.keys().forEach(k -> byKey.put(k, w));
        }
    }

    /**
     * Gives the configuration.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Finds the route with the longest prefix that begins the path.
     *
     * @param host the host that the caller named, with or without a port
     * @param path the path, with or without a query
     * @return the route, or null
     */
    public Route route(String host, String path) {
        if (host == null) {
            return null;
        }
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        int query = path.indexOf('?');
        String bare = query < 0 ? path : path.substring(0, query);
        for (Route r : byHost.getOrDefault(name, List.of())) {
            if (bare.startsWith(r.pathPrefix())) {
                return r;
            }
        }
        return null;
    }

    /**
     * Finds the workspace that holds a key.
     *
     * @param key the key; may be null
     * @return the workspace, or null
     */
    public WorkspaceKeys workspace(String key) {
        return key == null ? null : byKey.get(key);
    }

    /**
     * Says whether requests need a key.
     *
     * @return true if the configuration has workspaces
     */
    public boolean needsKeys() {
        return !configuration.workspaces().isEmpty();
    }
}
