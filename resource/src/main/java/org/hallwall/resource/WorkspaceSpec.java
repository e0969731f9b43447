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

import org.hallwall.core.id.ServiceId;

/**
 * A declared workspace.
 *
 * @param keySha256 the SHA-256 of each key, in lower-case hexadecimal
 * @param models the models that its callers may use
 * @param services the plain services that its callers may use
 * @param requestsPerSecond its limit of requests a second over all entries of a failure domain; null for none
 * @param tokensPerSecond its limit of generated tokens a second over all entries; null for none
 * @param maxQueued how many of its requests may wait at one entry; null for the entry's own bound
 */
public record WorkspaceSpec(
        List<String> keySha256,
        List<ModelRoute> models,
        List<ServiceId> services,
        Double requestsPerSecond,
        Double tokensPerSecond,
        Integer maxQueued) {

    /** Fills in what the declaration leaves out. */
    public WorkspaceSpec {
        keySha256 = List.copyOf(keySha256);
        models = models == null ? List.of() : List.copyOf(models);
        services = services == null ? List.of() : List.copyOf(services);
    }
}
