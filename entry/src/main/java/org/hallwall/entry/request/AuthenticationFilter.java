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
package org.hallwall.entry.request;

import java.util.function.Supplier;

import org.hallwall.core.id.WorkspaceId;
import org.hallwall.core.settings.KeyHash;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestFilter;
import org.hallwall.resource.Declarations;

/** Authenticates a request by its API key and sets its workspace. */
public final class AuthenticationFilter implements RequestFilter {

    private static final String BEARER_PREFIX = "Bearer ";

    private final Supplier<Declarations> declarations;

    /**
     * Creates the filter.
     *
     * @param declarations supplies the current declarations
     */
    public AuthenticationFilter(Supplier<Declarations> declarations) {
        this.declarations = declarations;
    }

    @Override
    public void apply(Exchange exchange) throws RefusalException {
        String value = exchange.headers().authorization();
        if (value == null || !value.startsWith(BEARER_PREFIX)) {
            throw new RefusalException(ProblemType.UNAUTHORIZED, "Authorization: Bearer KEY is missing");
        }
        Declarations current = declarations.get();
        WorkspaceId id = current.findWorkspaceByKeyHash(KeyHash.of(value.substring(BEARER_PREFIX.length())));
        if (id == null) {
            throw new RefusalException(ProblemType.UNAUTHORIZED, "no workspace has this key");
        }
        exchange.setWorkspace(id, current.workspaces().get(id));
    }
}
