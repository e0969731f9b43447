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
import org.hallwall.core.id.FencingNumber;
import org.hallwall.core.id.GroupId;
import org.hallwall.engine.RunFrame;

/** What a stand-in target did, so that tests judge by the target's own record. Safe for use by several threads. */
public final class FakeAccount {

    private final List<RunRecord> runs = new ArrayList<>();
    private final List<GroupRecord> groups = new ArrayList<>();
    private final List<CallRecord> calls = new ArrayList<>();

    synchronized void runStarted(AttemptId attempt, String promptHash, GroupId group, long at) {
        runs.add(new RunRecord(attempt, promptHash, group, at, 0, null));
    }

    synchronized void runEnded(AttemptId attempt, int tokens, RunFrame.End end) {
        for (int i = runs.size() - 1; i >= 0; i--) {
            RunRecord r = runs.get(i);
            if (r.attempt().equals(attempt)) {
                runs.set(i, new RunRecord(attempt, r.promptHash(), r.group(), r.at(), tokens, end));
                return;
            }
        }
    }

    synchronized void groupChanged(GroupId group, FencingNumber fencing, long at) {
        groups.add(new GroupRecord(group, fencing, at));
    }

    synchronized void called(String method, String path, String bodyHash, long at) {
        calls.add(new CallRecord(method, path, bodyHash, at));
    }

    /**
     * Copies the account.
     *
     * @return the account so far
     */
    public synchronized Copy copy() {
        return new Copy(List.copyOf(runs), List.copyOf(groups), List.copyOf(calls));
    }

    /**
     * A copy of an account.
     *
     * @param runs every run that was executed, in order of its start
     * @param groups every change of group, in order
     * @param calls every call of the plain service, in order
     */
    public record Copy(List<RunRecord> runs, List<GroupRecord> groups, List<CallRecord> calls) {}

    /**
     * A run that was executed.
     *
     * @param attempt the attempt
     * @param promptHash the hash of its prompt
     * @param group the group that the target was in
     * @param at when it began, in milliseconds since 1970
     * @param tokens how many tokens were generated
     * @param end how it ended; null while it runs
     */
    public record RunRecord(
            AttemptId attempt, String promptHash, GroupId group, long at, int tokens, RunFrame.End end) {}

    /**
     * A change of group.
     *
     * @param group the group from then on; null for none
     * @param fencing the fencing number of the order
     * @param at when, in milliseconds since 1970
     */
    public record GroupRecord(GroupId group, FencingNumber fencing, long at) {}

    /**
     * A call of a plain service.
     *
     * @param method the HTTP method
     * @param path the path
     * @param bodyHash the hash of the body
     * @param at when, in milliseconds since 1970
     */
    public record CallRecord(String method, String path, String bodyHash, long at) {}
}
