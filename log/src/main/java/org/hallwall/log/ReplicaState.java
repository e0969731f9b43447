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
package org.hallwall.log;

import java.util.List;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/**
 * The state of a replica.
 *
 * @param role its role
 * @param term its term
 * @param leader the current leader; null if unknown
 * @param commit the last committed index
 * @param lastIndex the index of the last entry
 * @param snapshotIndex the last index covered by its snapshot
 * @param admitted the admitted data folder of each voter
 * @param voters the current voters
 */
public record ReplicaState(
        LogRole role,
        long term,
        InstanceId leader,
        long commit,
        long lastIndex,
        long snapshotIndex,
        Map<String, String> admitted,
        List<InstanceId> voters) {}
