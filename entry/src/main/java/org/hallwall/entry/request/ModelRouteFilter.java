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

import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestFilter;
import org.hallwall.resource.Declarations;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.ModelRoute;

/** Resolves the model name of a request to a model group and an adapter. */
public final class ModelRouteFilter implements RequestFilter {

    private final Supplier<Declarations> declarations;

    /**
     * Creates the filter.
     *
     * @param declarations supplies the current declarations
     */
    public ModelRouteFilter(Supplier<Declarations> declarations) {
        this.declarations = declarations;
    }

    @Override
    public void apply(Exchange exchange) throws RefusalException {
        String model = exchange.chat().model();
        for (ModelRoute route : exchange.workspaceSpec().models()) {
            if (route.name().equals(model)) {
                applyRoute(exchange, route);
                return;
            }
        }
        throw new RefusalException(ProblemType.UNKNOWN_MODEL, "the workspace has no model of that name");
    }

    private void applyRoute(Exchange exchange, ModelRoute route) throws RefusalException {
        ModelGroupSpec spec = declarations.get().modelGroupSpec(route.modelGroup());
        if (spec == null) {
            throw new RefusalException(ProblemType.UNKNOWN_MODEL, "the model group of that name is not declared");
        }
        exchange.setRoute(route.modelGroup(), route.adapter());
    }
}
