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

/** A group of the plan, with its lifecycle state. */
final class PlannedGroup {

    private final String name;
    private final long epoch;
    private final String model;
    private final String fabricDomain;
    private final List<InstanceId> members;
    private final long createdAt;
    private boolean closing;
    private boolean retiring;
    private boolean served;

    PlannedGroup(String name, long epoch, String model, String fabricDomain, List<InstanceId> members, long since) {
        this.name = name;
        this.epoch = epoch;
        this.model = model;
        this.fabricDomain = fabricDomain;
        this.members = List.copyOf(members);
        this.createdAt = since;
    }

    String name() {
        return name;
    }

    long epoch() {
        return epoch;
    }

    String model() {
        return model;
    }

    String fabricDomain() {
        return fabricDomain;
    }

    List<InstanceId> members() {
        return members;
    }

    InstanceId head() {
        return members.get(0);
    }

    long createdAt() {
        return createdAt;
    }

    boolean isClosing() {
        return closing;
    }

    void markClosing() {
        closing = true;
    }

    /** Returns whether its members are needed for a better group. */
    boolean isRetiring() {
        return retiring;
    }

    /** Returns whether it is closing or about to close. */
    boolean isEnding() {
        return closing || retiring;
    }

    void markRetiring() {
        retiring = true;
    }

    boolean hasServed() {
        return served;
    }

    void markServed() {
        served = true;
    }
}
