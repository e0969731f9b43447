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

/** Finds the model group that serves a model name of the workspace. */
public final class RouteFilter implements RequestFilter {

    private final Supplier<Declarations> declarations;

    /**
     * Creates the filter.
     *
     * @param declarations the declarations in force
     */
    public RouteFilter(Supplier<Declarations> declarations) {
        this.declarations = declarations;
    }

    @Override
    public void apply(Exchange x) throws RefusalException {
        String model = x.chat().model();
        for (ModelRoute r : x.workspaceSpec().models()) {
            if (r.name().equals(model)) {
                route(x, r);
                return;
            }
        }
        throw new RefusalException(ProblemType.UNKNOWN_MODEL, "the workspace has no model of that name");
    }

    private void route(Exchange x, ModelRoute r) throws RefusalException {
        ModelGroupSpec spec = declarations.get().modelGroup(r.modelGroup());
        if (spec == null) {
            throw new RefusalException(ProblemType.UNKNOWN_MODEL, "the model group of that name is not declared");
        }
        x.routedTo(r.modelGroup(), r.adapter());
    }
}
