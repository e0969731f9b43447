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
package org.hallwall.resource;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.resource.ResourceMessage.Changes;

/** Caches the declarations of a process. The version never decreases. Thread-safe. */
public final class DeclarationCache {

    private final Map<String, Resource> resources = new TreeMap<>();
    private volatile Declarations current = new Declarations(0, List.of());

    /**
     * Applies changes. Changes of the current or an older version are ignored.
     *
     * @param changes the changes
     * @return true if the changes were applied
     */
    public synchronized boolean applyChanges(Changes changes) {
        if (changes.version() <= current.version()) {
            return false;
        }
        if (changes.whole()) {
            resources.clear();
        }
        for (ResourceEvent e : changes.events()) {
            Resource r = e.resource();
            String key = r.kind().plural() + "/" + r.name();
            if (e.deleted()) {
                resources.remove(key);
            } else {
                resources.put(key, r);
            }
        }
        boolean unchanged = !changes.whole() && changes.events().isEmpty();
        current = unchanged
                ? current.withVersion(changes.version())
                : new Declarations(changes.version(), List.copyOf(resources.values()));
        return true;
    }

    /**
     * Returns the current declarations.
     *
     * @return the declarations
     */
    public Declarations current() {
        return current;
    }

    /**
     * Returns all declarations for a process whose version is older.
     *
     * @param after the version of that process
     * @return all declarations, or no events if that version is current
     */
    public Changes changesAfter(long after) {
        Declarations d = current;
        if (d.version() <= after) {
            return new Changes(d.version(), false, List.of());
        }
        List<ResourceEvent> all = d.all().stream()
                .map(r -> new ResourceEvent(r.resourceVersion(), false, r))
                .toList();
        return new Changes(d.version(), true, all);
    }
}
