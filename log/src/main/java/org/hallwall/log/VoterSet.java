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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.hallwall.core.id.InstanceId;

/**
 * The current voters: those of the latest voter entry in the log, committed or not.
 *
 * <p>Voters change one at a time, so that any quorum before a change overlaps any quorum after it.
 */
final class VoterSet {

    private static final String SEPARATOR = "\n";

    private final InstanceId self;
    private final InMemoryLog log;
    private List<InstanceId> snapshotVoters;
    private List<InstanceId> all;
    private List<InstanceId> others;
    private long lastChangeIndex;

    VoterSet(InstanceId self, List<InstanceId> snapshotVoters, InMemoryLog log) {
        this.self = self;
        this.snapshotVoters = snapshotVoters;
        this.log = log;
        refresh();
    }

    static byte[] encode(List<InstanceId> voters) {
        String text =
                String.join(SEPARATOR, voters.stream().map(InstanceId::value).toList());
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Reloads the voters after the log has changed. */
    void refresh() {
        lastChangeIndex = log.lastIndexOf(LogEntryKind.VOTERS, log.lastIndex());
        all = lastChangeIndex == 0 ? snapshotVoters : decode(log.get(lastChangeIndex));
        others = all.stream().filter(v -> !v.equals(self)).toList();
    }

    /** Retains the voters as of an index before the log is compacted up to it. */
    void compact(long upTo) {
        snapshotVoters = votersAt(upTo);
    }

    /** Installs the voters of a snapshot; an empty list means that the snapshot does not include them. */
    void restore(List<InstanceId> voters) {
        if (!voters.isEmpty()) {
            snapshotVoters = List.copyOf(voters);
        }
        refresh();
    }

    /** Returns the voters as of an index. */
    List<InstanceId> votersAt(long index) {
        long changeIndex = log.lastIndexOf(LogEntryKind.VOTERS, index);
        return changeIndex == 0 ? snapshotVoters : decode(log.get(changeIndex));
    }

    List<InstanceId> all() {
        return all;
    }

    List<InstanceId> others() {
        return others;
    }

    boolean contains(InstanceId voter) {
        return all.contains(voter);
    }

    int quorum() {
        return all.size() / 2 + 1;
    }

    /** Returns the index of the latest voter entry; zero if the log has none. */
    long lastChangeIndex() {
        return lastChangeIndex;
    }

    List<InstanceId> with(InstanceId voter) {
        List<InstanceId> out = new ArrayList<>(all);
        out.add(voter);
        return out;
    }

    List<InstanceId> without(InstanceId voter) {
        return all.stream().filter(v -> !v.equals(voter)).toList();
    }

    private static List<InstanceId> decode(LogEntry entry) {
        String text = new String(entry.payload(), StandardCharsets.UTF_8);
        return Arrays.stream(text.split(SEPARATOR)).map(InstanceId::new).toList();
    }
}
