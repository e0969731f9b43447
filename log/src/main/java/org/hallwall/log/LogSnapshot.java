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
 * A snapshot of the state, which replaces the entries up to its index.
 *
 * @param index the index of the last entry it covers
 * @param term the term of that entry
 * @param admitted the admitted data folder of each voter
 * @param voters the voters as of that index; empty if the snapshot does not include them
 * @param state the state machine's snapshot
 */
public record LogSnapshot(long index, long term, Map<String, String> admitted, List<InstanceId> voters, byte[] state) {

    /** The empty snapshot that precedes the first entry. */
    public static final LogSnapshot EMPTY = new LogSnapshot(0, 0, Map.of(), List.of(), new byte[0]);

    /** Accepts snapshots of older versions, which have no voters. */
    public LogSnapshot {
        voters = voters == null ? List.of() : List.copyOf(voters);
    }
}
