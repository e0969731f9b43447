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
 * Who the voters are: what the latest entry that names them says, whether it is committed or not.
 *
 * <p>Voters change one at a time, so that each quorum before a change meets each quorum after it.
 */
final class LogVoters {

    private static final String SEPARATOR = "\n";

    private final InstanceId self;
    private final LogIndex log;
    private List<InstanceId> base;
    private List<InstanceId> all;
    private List<InstanceId> others;
    private long namedAt;

    LogVoters(InstanceId self, List<InstanceId> base, LogIndex log) {
        this.self = self;
        this.base = base;
        this.log = log;
        refresh();
    }

    static byte[] payload(List<InstanceId> voters) {
        String text =
                String.join(SEPARATOR, voters.stream().map(InstanceId::value).toList());
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Looks at the log again, because entries were added, cut or dropped. */
    void refresh() {
        namedAt = log.lastOf(LogEntryKind.VOTERS, log.lastIndex());
        all = namedAt == 0 ? base : parse(log.get(namedAt));
        others = all.stream().filter(v -> !v.equals(self)).toList();
    }

    /** Notes that the log up to an index is about to be dropped. */
    void compact(long upTo) {
        base = at(upTo);
    }

    /** Replaces what is known by a snapshot's list; an empty one is of a snapshot that names none. */
    void restore(List<InstanceId> voters) {
        if (!voters.isEmpty()) {
            base = List.copyOf(voters);
        }
        refresh();
    }

    /** Gives the voters as of an index. */
    List<InstanceId> at(long index) {
        long named = log.lastOf(LogEntryKind.VOTERS, index);
        return named == 0 ? base : parse(log.get(named));
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

    /** The index of the entry that names the voters; zero if none in the log does. */
    long namedAt() {
        return namedAt;
    }

    List<InstanceId> with(InstanceId voter) {
        List<InstanceId> out = new ArrayList<>(all);
        out.add(voter);
        return out;
    }

    List<InstanceId> without(InstanceId voter) {
        return all.stream().filter(v -> !v.equals(voter)).toList();
    }

    private static List<InstanceId> parse(LogEntry entry) {
        String text = new String(entry.payload(), StandardCharsets.UTF_8);
        return Arrays.stream(text.split(SEPARATOR)).map(InstanceId::new).toList();
    }
}
