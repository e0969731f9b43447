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
 * An order to stage a model on the host of an engine.
 *
 * @param target the engine
 * @param model the model
 * @param missingEngines the number of engines that are missing before a group can form; {@link #SPARE} for a spare
 */
public record StageOrder(Engine target, String model, int missingEngines) {

    /** The value of {@code missing} for a load that completes no group. */
    public static final int SPARE = Integer.MAX_VALUE;

    /**
     * Returns whether the load is for a spare.
     *
     * @return true if it completes no group
     */
    public boolean isSpare() {
        return missingEngines == SPARE;
    }

    /**
     * Returns the order with its reason.
     *
     * @return the order for the engine
     */
    public GroupAction toAction() {
        return new GroupAction(
                target,
                new TargetOrder.Stage(model),
                isSpare() ? "loads a model for a spare" : "loads a model for a group");
    }
}
