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

import java.util.Map;

/**
 * The capacity of one fabric domain, as input of the packing.
 *
 * @param name the fabric domain
 * @param failureDomain the failure domain that contains it
 * @param engines the number of engines that are eligible for groups
 * @param groups the number of groups that serve or form, by model
 * @param joinable the number of engines that can join a group without a load from the weight store, by model
 */
record DomainCapacity(
        String name, String failureDomain, int engines, Map<String, Integer> groups, Map<String, Integer> joinable) {

    int groupCount(String model) {
        return groups.getOrDefault(model, 0);
    }

    int joinableCount(String model) {
        return joinable.getOrDefault(model, 0);
    }

    /** Returns a copy with one more engine; both share the maps. */
    DomainCapacity plusEngine() {
        return new DomainCapacity(name, failureDomain, engines + 1, groups, joinable);
    }
}
