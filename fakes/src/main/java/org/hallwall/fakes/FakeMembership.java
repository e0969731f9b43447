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
package org.hallwall.fakes;

import java.util.List;

import org.hallwall.core.id.FencingNumber;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.engine.EngineOrder;
import org.hallwall.engine.GroupMembership;

/** The group of a stand-in engine and the weights that it holds. Safe for use by several threads. */
final class FakeMembership {

    private final FakeTargetSettings settings;
    private final FakeWeights weights;
    private final FakeAccount account;
    private EngineOrder joined;
    private FencingNumber highest = FencingNumber.NONE;
    private String model;
    private String version;
    private long loadsUntil;

    FakeMembership(FakeTargetSettings settings, FakeWeights weights, FakeAccount account) {
        this.settings = settings;
        this.weights = weights;
        this.account = account;
    }

    /** Takes an order; returns null, or why it is refused. */
    synchronized Refusal take(EngineOrder order, long now, long wallClock) {
        if (settings.checksFencing()) {
            if (order.fencing().compareTo(highest) < 0) {
                return new Refusal("old fencing number", highest);
            }
            if (wallClock > order.expiresAt()) {
                return new Refusal("expired order", highest);
            }
        }
        highest = highest.max(order.fencing());
        if (order.kind() == EngineOrder.Kind.LEAVE) {
            joined = null;
        } else {
            joined = order;
            loadIfNeeded(order, now);
        }
        account.groupChanged(joined == null ? null : order.group(), order.fencing(), wallClock);
        return null;
    }

    synchronized void step(long now) {
        if (joined != null && loadsUntil > 0 && now >= loadsUntil) {
            loadsUntil = 0;
            model = joined.model();
            version = joined.version();
        }
    }

    synchronized GroupMembership current() {
        if (joined == null) {
            return null;
        }
        List<InstanceId> members =
                joined.members().stream().map(EngineOrder.Member::instance).toList();
        return new GroupMembership(joined.group(), joined.modelGroup(), joined.fencing(), members, loadsUntil == 0);
    }

    synchronized List<EngineOrder.Member> others() {
        if (joined == null) {
            return List.of();
        }
        return joined.members().stream()
                .filter(m -> !m.instance().equals(settings.instance()))
                .toList();
    }

    synchronized boolean isHeadOf(GroupId group) {
        return joined != null
                && joined.group().equals(group)
                && loadsUntil == 0
                && joined.members().get(0).instance().equals(settings.instance());
    }

    synchronized EngineOrder joined() {
        return joined;
    }

    synchronized FencingNumber highest() {
        return highest;
    }

    synchronized String model() {
        return model;
    }

    synchronized String version() {
        return version;
    }

    private void loadIfNeeded(EngineOrder order, long now) {
        boolean holds = order.model().equals(model) && order.version().equals(version);
        if (holds) {
            loadsUntil = 0;
        } else {
            model = null;
            version = null;
            loadsUntil = weights.reserve(now, settings.weightMillis());
        }
    }

    /**
     * Why an order is refused.
     *
     * @param reason one sentence
     * @param held the highest fencing number taken
     */
    record Refusal(String reason, FencingNumber held) {}
}
