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

/**
 * A host that should load a model.
 *
 * @param target the engine
 * @param model the model
 * @param missing how many engines its set lacks before a group can form; {@link #SPARE} for a spare
 */
public record StageOrder(Engine target, String model, int missing) {

    /** Stands for a load that completes no group yet. */
    public static final int SPARE = Integer.MAX_VALUE;

    /**
     * Says whether the load only makes a spare.
     *
     * @return true if no group waits for it
     */
    public boolean isSpare() {
        return missing == SPARE;
    }

    /**
     * Gives the order.
     *
     * @return the order for the engine
     */
    public GroupAction action() {
        return new GroupAction(
                target, new TargetOrder.Stage(model), isSpare() ? "a spare for its domain" : "a group waits for it");
    }
}
