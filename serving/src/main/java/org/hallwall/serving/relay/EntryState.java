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
import org.hallwall.serving.target.TargetDirectory.KnownTarget;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;

/** What an entry believes: the configuration in force and the targets that may take requests. */
public final class EntryState {

    private static final Logger LOG = Logger.getLogger(EntryState.class);

    private final TargetDirectory directory;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final Map<String, Set<InstanceId>> lostBy = new HashMap<>();
    private volatile RouteTable routes = new RouteTable(Configuration.NONE);
    private volatile ServingTargets targets = ServingTargets.NONE;

    /**
     * Creates the state of an entry that knows nothing yet.
     *
     * @param directory all targets
     */
    public EntryState(TargetDirectory directory) {
        this.directory = directory;
    }

    /**
     * Gives the routes in force.
     *
     * @return the routes
     */
    public RouteTable routes() {
        return routes;
    }

    /**
     * Gives the targets that may take requests.
     *
     * @return the targets
     */
    public ServingTargets targets() {
        return targets;
    }

    /**
     * Adds someone who is told after the targets have changed.
     *
     * @param listener called on the thread that brought the change
     */
    public void onTargets(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Puts a configuration in force if it is newer; versions never go back.
     *
     * @param fresh the configuration
     */
    public synchronized void take(Configuration fresh) {
        long before = routes.configuration().version();
        if (fresh.version() <= before) {
            return;
        }
        routes = new RouteTable(fresh);
        LOG.infof(
                "configuration: version %d replaces %d, %d routes",
                fresh.version(), before, fresh.routes().size());
        judge();
    }

    /**
     * Takes what a control instance holds for dead.
     *
     * @param control the control instance
     * @param lost all that it holds for dead
     */
    public synchronized void takeLost(String control, Collection<InstanceId> lost) {
        lostBy.put(control, Set.copyOf(lost));
    }

    /** Judges the targets anew, because one has changed. */
    public synchronized void judge() {
        List<TargetRecord> records = new ArrayList<>();
        for (KnownTarget t : directory.list()) {
            TargetRecord r = t.record();
            if (lostBy.values().stream().noneMatch(lost -> lost.contains(r.instance()))) {
                records.add(r);
            }
        }
        targets = ServingTargets.of(routes.configuration(), records);
        listeners.forEach(Runnable::run);
    }
}
