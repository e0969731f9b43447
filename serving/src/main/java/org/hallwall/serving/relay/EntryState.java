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
package org.hallwall.serving.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.RouteTable;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetDirectory.AnnouncedTarget;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;

/** Holds the active configuration and the targets that can serve requests. */
public final class EntryState {

    private static final Logger LOG = Logger.getLogger(EntryState.class);

    private final TargetDirectory directory;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, Set<InstanceId>> lostByControl = new HashMap<>();
    private volatile RouteTable routes = new RouteTable(Configuration.EMPTY);
    private volatile ServingTargets targets = ServingTargets.NONE;

    /**
     * Creates an empty state.
     *
     * @param directory the announced targets
     */
    public EntryState(TargetDirectory directory) {
        this.directory = directory;
    }

    /**
     * Returns the active routes.
     *
     * @return the routes
     */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Returns the targets that can serve requests.
     *
     * @return the targets
     */
    public ServingTargets targets() {
        return targets;
    }

    /**
     * Adds a listener that is called after the targets have changed.
     *
     * @param listener the listener, called on the thread that made the change
     */
    public void addTargetListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Activates a configuration if its version is newer than the active one.
     *
     * @param configuration the configuration
     */
    public synchronized void applyConfiguration(Configuration configuration) {
        long previous = routes.configuration().version();
        if (configuration.version() <= previous) {
            return;
        }
        routes = new RouteTable(configuration);
        LOG.infof(
                "configuration: version %d replaces %d, %d routes",
                configuration.version(), previous, configuration.routes().size());
        refreshTargets();
    }

    /**
     * Sets the targets that a control instance considers dead.
     *
     * @param control the control instance
     * @param lost all targets that it considers dead
     */
    public synchronized void setLostTargets(String control, Collection<InstanceId> lost) {
        lostByControl.put(control, Set.copyOf(lost));
    }

    /** Recomputes the targets that can serve requests. */
    public synchronized void refreshTargets() {
        List<TargetRecord> records = new ArrayList<>();
        for (AnnouncedTarget t : directory.list()) {
            TargetRecord r = t.record();
            if (lostByControl.values().stream().noneMatch(lost -> lost.contains(r.instance()))) {
                records.add(r);
            }
        }
        targets = ServingTargets.of(routes.configuration(), records);
        listeners.forEach(Runnable::run);
    }
}
