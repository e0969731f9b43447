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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.id.ServiceId;
import org.hallwall.core.id.WorkspaceId;

/** The declarations of one version with their parsed specs. Immutable. */
public final class Declarations {

    private final long version;
    private final List<Resource> all;
    private final Map<ModelGroupId, Resource> modelGroups;
    private final Map<ModelGroupId, ModelGroupSpec> modelGroupSpecs;
    private final Map<WorkspaceId, WorkspaceSpec> workspaces;
    private final Map<String, WorkspaceId> keys;
    private final Map<ServiceId, ServiceSpec> services;

    /**
     * Parses the specs of all resources.
     *
     * @param version the version
     * @param all the resources
     */
    public Declarations(long version, List<Resource> all) {
        this.version = version;
        this.all = all;
        this.modelGroups = new TreeMap<>();
        this.modelGroupSpecs = new HashMap<>();
        this.workspaces = new TreeMap<>();
        this.keys = new HashMap<>();
        this.services = new TreeMap<>();
        for (Resource r : all) {
            add(r);
        }
    }

    private Declarations(long version, Declarations source) {
        this.version = version;
        this.all = source.all;
        this.modelGroups = source.modelGroups;
        this.modelGroupSpecs = source.modelGroupSpecs;
        this.workspaces = source.workspaces;
        this.keys = source.keys;
        this.services = source.services;
    }

    Declarations withVersion(long newVersion) {
        return new Declarations(newVersion, this);
    }

    private void add(Resource r) {
        switch (r.kind()) {
            case MODEL_GROUP -> {
                ModelGroupId id = new ModelGroupId(r.name());
                modelGroups.put(id, r);
                modelGroupSpecs.put(id, r.readSpec(ModelGroupSpec.class));
            }
            case WORKSPACE -> addWorkspace(new WorkspaceId(r.name()), r.readSpec(WorkspaceSpec.class));
            case SERVICE -> services.put(new ServiceId(r.name()), r.readSpec(ServiceSpec.class));
            default -> throw new IllegalStateException("unknown kind " + r.kind());
        }
    }

    private void addWorkspace(WorkspaceId id, WorkspaceSpec spec) {
        workspaces.put(id, spec);
        for (String hash : spec.keySha256()) {
            keys.put(hash, id);
        }
    }

    /**
     * Returns the version.
     *
     * @return the log index of the last change
     */
    public long version() {
        return version;
    }

    /**
     * Returns all resources.
     *
     * @return the resources
     */
    public List<Resource> all() {
        return all;
    }

    /**
     * Returns the model groups as resources.
     *
     * @return the model groups
     */
    public Map<ModelGroupId, Resource> modelGroups() {
        return modelGroups;
    }

    /**
     * Returns the spec of a model group.
     *
     * @param id the model group
     * @return its spec; null if it is not declared
     */
    public ModelGroupSpec modelGroupSpec(ModelGroupId id) {
        return modelGroupSpecs.get(id);
    }

    /**
     * Returns the workspaces.
     *
     * @return the workspaces
     */
    public Map<WorkspaceId, WorkspaceSpec> workspaces() {
        return workspaces;
    }

    /**
     * Returns the workspace to which a key belongs.
     *
     * @param keySha256 the SHA-256 hash of the key
     * @return the workspace; null if the key is unknown
     */
    public WorkspaceId findWorkspaceByKeyHash(String keySha256) {
        return keys.get(keySha256);
    }

    /**
     * Returns the spec of a plain service.
     *
     * @param id the service
     * @return its spec; null if it is not declared
     */
    public ServiceSpec serviceSpec(ServiceId id) {
        return services.get(id);
    }
}
