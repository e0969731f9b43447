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
package org.hallwall.serving.group;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;

/**
 * Warms up spares without a model in memory. A spare joins a provisional group that no other member joins and that never opens;
 * this loads the model from its host into the engine, which then joins its next group of that model faster.
 */
final class SpareWarmUp {

    private final LongSupplier nextEpoch;
    private final Map<InstanceId, Long> epochs = new HashMap<>();

    SpareWarmUp(LongSupplier nextEpoch) {
        this.nextEpoch = nextEpoch;
    }

    /** Returns the warm-up orders for the spares of one fabric domain. */
    List<GroupAction> step(EngineSpec spec, List<Engine> spares, Collection<Engine> engines) {
        List<GroupAction> out = new ArrayList<>();
        for (Engine e : spares) {
            EngineModel model = stagedModel(spec, e);
            if (model == null || e.lastModel() != null || isJoining(e)) {
                continue;
            }
            List<InstanceId> members = members(e, model, engines);
            if (members.size() == model.size()) {
                long epoch = epochs.computeIfAbsent(e.id(), id -> nextEpoch.getAsLong());
                TargetOrder join = new TargetOrder.Join("w" + epoch, epoch, model.name(), members);
                out.add(new GroupAction(e, join, "warms up a spare"));
            }
        }
        return out;
    }

    /** Records that an engine was assigned to a group; its next warm-up needs a higher epoch. */
    void recordAssigned(InstanceId engine) {
        epochs.remove(engine);
    }

    private static List<InstanceId> members(Engine e, EngineModel model, Collection<Engine> engines) {
        List<InstanceId> out = new ArrayList<>();
        out.add(e.id());
        for (Engine other : engines) {
            boolean sameDomain = e.record().fabricDomain().equals(other.record().fabricDomain());
            if (sameDomain && !other.id().equals(e.id()) && out.size() < model.size()) {
                out.add(other.id());
            }
        }
        return out;
    }

    private static EngineModel stagedModel(EngineSpec spec, Engine e) {
        for (EngineModel m : spec.models()) {
            if (e.hasStaged(m.name())) {
                return m;
            }
        }
        return null;
    }

    private static boolean isJoining(Engine e) {
        GroupMembership m = e.record().group();
        return m != null && m.state() == GroupState.JOINING;
    }
}
