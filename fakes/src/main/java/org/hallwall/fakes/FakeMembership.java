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

import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.engine.EngineOrder;
import org.hallwall.engine.GroupMembership;

/** The group membership and loaded weights of a fake engine. Thread-safe. */
final class FakeMembership {

    private final FakeTargetSettings settings;
    private final FakeWeightStore weights;
    private final FakeTargetHistory history;
    private EngineOrder joinOrder;
    private FencingToken highestFencing = FencingToken.NONE;
    private String loadedModel;
    private String loadedVersion;
    private long loadEndMillis;

    FakeMembership(FakeTargetSettings settings, FakeWeightStore weights, FakeTargetHistory history) {
        this.settings = settings;
        this.weights = weights;
        this.history = history;
    }

    /** Applies an order; returns null on success or the reason for the refusal. */
    synchronized Refusal applyOrder(EngineOrder order, long now, long wallClock) {
        if (settings.checksFencing()) {
            if (order.fencing().compareTo(highestFencing) < 0) {
                return new Refusal("old fencing number", highestFencing);
            }
            if (wallClock > order.expiresAt()) {
                return new Refusal("expired order", highestFencing);
            }
        }
        highestFencing = highestFencing.max(order.fencing());
        if (order.kind() == EngineOrder.Kind.LEAVE) {
            joinOrder = null;
        } else {
            joinOrder = order;
            loadIfNeeded(order, now);
        }
        history.recordGroupChange(joinOrder == null ? null : order.group(), order.fencing(), wallClock);
        return null;
    }

    synchronized void step(long now) {
        if (joinOrder != null && loadEndMillis > 0 && now >= loadEndMillis) {
            loadEndMillis = 0;
            loadedModel = joinOrder.model();
            loadedVersion = joinOrder.version();
        }
    }

    synchronized GroupMembership current() {
        if (joinOrder == null) {
            return null;
        }
        List<InstanceId> members =
                joinOrder.members().stream().map(EngineOrder.Member::instance).toList();
        return new GroupMembership(
                joinOrder.group(), joinOrder.modelGroup(), joinOrder.fencing(), members, loadEndMillis == 0);
    }

    synchronized List<EngineOrder.Member> otherMembers() {
        if (joinOrder == null) {
            return List.of();
        }
        return joinOrder.members().stream()
                .filter(m -> !m.instance().equals(settings.instance()))
                .toList();
    }

    synchronized boolean isHeadOf(GroupId group) {
        return joinOrder != null
                && joinOrder.group().equals(group)
                && loadEndMillis == 0
                && joinOrder.members().get(0).instance().equals(settings.instance());
    }

    synchronized EngineOrder joinOrder() {
        return joinOrder;
    }

    synchronized FencingToken highestFencing() {
        return highestFencing;
    }

    synchronized String loadedModel() {
        return loadedModel;
    }

    synchronized String loadedVersion() {
        return loadedVersion;
    }

    private void loadIfNeeded(EngineOrder order, long now) {
        boolean alreadyLoaded =
                order.model().equals(loadedModel) && order.version().equals(loadedVersion);
        if (alreadyLoaded) {
            loadEndMillis = 0;
        } else {
            loadedModel = null;
            loadedVersion = null;
            loadEndMillis = weights.reserve(now, settings.weightMillis());
        }
    }

    /**
     * The reason for refusing an order.
     *
     * @param reason the reason, as text
     * @param held the highest fencing number accepted so far
     */
    record Refusal(String reason, FencingToken held) {}
}
