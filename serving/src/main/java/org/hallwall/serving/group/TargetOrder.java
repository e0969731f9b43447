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

import java.util.List;

import org.hallwall.core.id.InstanceId;

/** An order to a model engine. */
public sealed interface TargetOrder {

    /**
     * Joins a group, loading its model if needed.
     *
     * @param group the group's name
     * @param epoch the group's epoch
     * @param model the model
     * @param members all members; the first is the head
     * @param expectedRevision the number of orders that the target must have accepted before this one; null for any
     */
    record Join(String group, long epoch, String model, List<InstanceId> members, Long expectedRevision)
            implements TargetOrder {

        /**
         * Creates an unconditional order.
         *
         * @param group the group's name
         * @param epoch the group's epoch
         * @param model the model
         * @param members all members; the first is the head
         */
        public Join(String group, long epoch, String model, List<InstanceId> members) {
            this(group, epoch, model, members, null);
        }

        /**
         * Copies the order with a condition.
         *
         * @param revision the expected number of orders that the target has accepted; null for none
         * @return the copy
         */
        Join ifRevision(Long revision) {
            return new Join(group, epoch, model, members, revision);
        }
    }

    /**
     * Opens a ready head for requests.
     *
     * @param group the group's name
     * @param epoch the group's epoch
     */
    record Open(String group, long epoch) implements TargetOrder {}

    /**
     * Closes a head: it drains its work and returns to ready.
     *
     * @param group the group's name
     * @param epoch the group's epoch
     */
    record Close(String group, long epoch) implements TargetOrder {}

    /**
     * Leaves a group immediately.
     *
     * @param group the group's name
     * @param epoch the group's epoch
     */
    record Leave(String group, long epoch) implements TargetOrder {}

    /**
     * Stages a model on the host.
     *
     * @param model the model
     */
    record Stage(String model) implements TargetOrder {}
}
