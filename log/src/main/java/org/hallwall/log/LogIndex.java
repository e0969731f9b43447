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

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.InstanceId;

/** The entries that a replica holds in memory, after its snapshot. */
final class LogIndex {

    private final List<LogEntry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;

    LogIndex(long baseIndex, long baseTerm, List<LogEntry> kept) {
        reset(baseIndex, baseTerm, kept);
    }

    void reset(long index, long term, List<LogEntry> kept) {
        baseIndex = index;
        baseTerm = term;
        List<LogEntry> copy = List.copyOf(kept);
        entries.clear();
        entries.addAll(copy);
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    boolean holds(long index) {
        return index >= baseIndex && index <= lastIndex();
    }

    long termAt(long index) {
        return index == baseIndex ? baseTerm : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Finds the last entry that admits a data folder of a voter, committed or not; null if there is none. */
    String lastAdmission(InstanceId voter) {
        for (int i = entries.size() - 1; i >= 0; i--) {
            LogEntry e = entries.get(i);
            if (e.kind() == LogEntryKind.ADMIT) {
                LogAdmission a = LogAdmission.of(e);
                if (a.voter().equals(voter)) {
                    return a.folder();
                }
            }
        }
        return null;
    }

    /** Finds the last entry of a kind up to an index; zero if the entries in memory have none. */
    long lastOf(LogEntryKind kind, long upTo) {
        for (long i = Math.min(upTo, lastIndex()); i > baseIndex; i--) {
            if (get(i).kind() == kind) {
                return i;
            }
        }
        return 0;
    }

    void append(LogEntry entry) {
        entries.add(entry);
    }

    void cutFrom(long index) {
        int keep = (int) (index - baseIndex - 1);
        entries.subList(keep, entries.size()).clear();
    }

    void dropUpTo(long index) {
        long term = termAt(index);
        entries.subList(0, (int) (index - baseIndex)).clear();
        baseIndex = index;
        baseTerm = term;
    }

    List<LogEntry> after(long index, int most) {
        int from = (int) (index - baseIndex);
        int to = Math.min(entries.size(), from + most);
        return List.copyOf(entries.subList(from, to));
    }

    int size() {
        return entries.size();
    }
}
