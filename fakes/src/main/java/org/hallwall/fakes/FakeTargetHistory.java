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

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.AttemptId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.engine.RunFrame;

/** Records the runs, group changes and calls of a fake target, for verification by tests. Thread-safe. */
public final class FakeTargetHistory {

    private final List<RunRecord> runs = new ArrayList<>();
    private final List<GroupRecord> groups = new ArrayList<>();
    private final List<CallRecord> calls = new ArrayList<>();

    synchronized void recordRunStart(AttemptId attempt, String promptHash, GroupId group, long at) {
        runs.add(new RunRecord(attempt, promptHash, group, at, 0, null));
    }

    synchronized void recordRunEnd(AttemptId attempt, int tokens, RunFrame.End end) {
        for (int i = runs.size() - 1; i >= 0; i--) {
            RunRecord r = runs.get(i);
            if (r.attempt().equals(attempt)) {
                runs.set(i, new RunRecord(attempt, r.promptHash(), r.group(), r.at(), tokens, end));
                return;
            }
        }
    }

    synchronized void recordGroupChange(GroupId group, FencingToken fencing, long at) {
        groups.add(new GroupRecord(group, fencing, at));
    }

    synchronized void recordCall(String method, String path, String bodyHash, long at) {
        calls.add(new CallRecord(method, path, bodyHash, at));
    }

    /**
     * Returns an immutable snapshot of the records.
     *
     * @return the snapshot
     */
    public synchronized Snapshot snapshot() {
        return new Snapshot(List.copyOf(runs), List.copyOf(groups), List.copyOf(calls));
    }

    /**
     * An immutable snapshot of the records.
     *
     * @param runs all runs, in order of their start
     * @param groups all group changes, in order
     * @param calls all calls of the plain service, in order
     */
    public record Snapshot(List<RunRecord> runs, List<GroupRecord> groups, List<CallRecord> calls) {}

    /**
     * A run.
     *
     * @param attempt the id of the attempt
     * @param promptHash the hash of the prompt
     * @param group the group of the target at that time
     * @param at the start time, in milliseconds since the epoch
     * @param tokens the number of generated tokens
     * @param end the reason for the end; null while the run is in progress
     */
    public record RunRecord(
            AttemptId attempt, String promptHash, GroupId group, long at, int tokens, RunFrame.End end) {}

    /**
     * A group change.
     *
     * @param group the new group; null for none
     * @param fencing the fencing number of the order
     * @param at the time, in milliseconds since the epoch
     */
    public record GroupRecord(GroupId group, FencingToken fencing, long at) {}

    /**
     * A call of a plain service.
     *
     * @param method the HTTP method
     * @param path the path
     * @param bodyHash the hash of the body
     * @param at the time, in milliseconds since the epoch
     */
    public record CallRecord(String method, String path, String bodyHash, long at) {}
}
