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
 * The spec of a workspace.
 *
 * @param keySha256 the SHA-256 hashes of its API keys, in lowercase hexadecimal
 * @param models the models available to its callers
 * @param services the plain services available to its callers
 * @param requestsPerSecond the request rate limit over all entries of a failure domain; null for no limit
 * @param tokensPerSecond the rate limit of generated tokens over all entries; null for no limit
 * @param maxQueued the maximum number of its queued requests per entry; null for the limit of the entry
 */
public record WorkspaceSpec(
        List<String> keySha256,
        List<ModelRoute> models,
        List<ServiceId> services,
        Double requestsPerSecond,
        Double tokensPerSecond,
        Integer maxQueued) {

    /** Applies default values. */
    public WorkspaceSpec {
        keySha256 = List.copyOf(keySha256);
        models = models == null ? List.of() : List.copyOf(models);
        services = services == null ? List.of() : List.copyOf(services);
    }
}
