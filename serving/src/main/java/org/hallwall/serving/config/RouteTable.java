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

import java.util.BitSet;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Immutable lookup of the route and the workspace of a request in one configuration. */
public final class RouteTable {

    private final Configuration configuration;
    private final Map<String, HostRoutes> routesByHost = new HashMap<>();
    private final Map<String, WorkspaceKeys> workspacesByKey = new HashMap<>();

    /**
     * Creates the table.
     *
     * @param configuration the configuration
     */
    public RouteTable(Configuration configuration) {
        this.configuration = configuration;
        String lastHost = null;
        HostRoutes hostRoutes = null;
        for (Route r : configuration.routes()) {
            // Successive routes usually have the same host.
            if (!r.host().equals(lastHost)) {
                lastHost = r.host();
                hostRoutes = routesByHost.computeIfAbsent(lastHost.toLowerCase(Locale.ROOT), h -> new HostRoutes());
            }
            hostRoutes.add(r);
        }
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
        HostRoutes routes = routesByHost.get(name);
        return routes == null ? null : routes.find(pathOnly);
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

    /** The routes of one host. */
    private static final class HostRoutes {

        private final Map<String, Route> routesByPrefix = new HashMap<>();
        /** The lengths of the prefixes, of which there are few. */
        private final BitSet lengths = new BitSet();

        void add(Route r) {
            routesByPrefix.putIfAbsent(r.pathPrefix(), r);
            lengths.set(r.pathPrefix().length());
        }

        Route find(String path) {
            for (int length = lengths.previousSetBit(path.length());
                    length >= 0;
                    length = lengths.previousSetBit(length - 1)) {
                Route r = routesByPrefix.get(path.substring(0, length));
                if (r != null) {
                    return r;
                }
            }
            return null;
        }
    }
}
