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

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.TargetRecord;

/**
 * The state of a model engine, as input of the planners.
 *
 * @param record its last announcement
 * @param lastModel the model of its last group since it started, which is still in memory; null if there was none
 * @param lost whether it is considered dead
 * @param silent whether it has missed heartbeats
 * @param verification whether it has reported its group membership to this controller
 */
public record Engine(
        TargetRecord record, String lastModel, boolean lost, boolean silent, VerificationState verification) {

    /**
     * Returns the engine's instance ID.
     *
     * @return the instance ID
     */
    public InstanceId id() {
        return record.instance();
    }

    /**
     * Returns whether the group membership is verified.
     *
     * @return true if the engine has reported it
     */
    public boolean isVerified() {
        return verification == VerificationState.VERIFIED;
    }

    /**
     * Returns whether the engine can be assigned to a group or a load.
     *
     * @return true if it is serving and neither lost nor silent
     */
    public boolean isUsable() {
        return !lost && !silent && record.isServing();
    }

    /**
     * Returns whether the engine announces membership of a group.
     *
     * @param name the group's name
     * @param epoch the group's epoch
     * @return true if name and epoch match its announcement
     */
    public boolean isMemberOf(String name, long epoch) {
        GroupMembership m = record.group();
        return m != null && m.epoch() == epoch && m.name().equals(name);
    }

    /**
     * Returns whether a model is staged on the engine's host.
     *
     * @param model the model
     * @return true if it is staged
     */
    public boolean hasStaged(String model) {
        return record.staged().contains(model);
    }

    /**
     * Returns whether the engine can join a group of a model without a load from the weight store.
     *
     * @param model the model
     * @return true if the model is staged on the host or was the model of the engine's last group
     */
    public boolean canJoin(String model) {
        return hasStaged(model) || model.equals(lastModel);
    }
}
