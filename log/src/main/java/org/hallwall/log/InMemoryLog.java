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

/** The log entries after the latest snapshot, held in memory. */
final class InMemoryLog {

    private final List<LogEntry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;
    private long bytes;

    InMemoryLog(long baseIndex, long baseTerm, List<LogEntry> retained) {
        reset(baseIndex, baseTerm, retained);
    }

    void reset(long index, long term, List<LogEntry> retained) {
        baseIndex = index;
        baseTerm = term;
        List<LogEntry> copy = List.copyOf(retained);
        entries.clear();
        entries.addAll(copy);
        bytes = sumBytes(entries);
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

    boolean hasTermAt(long index) {
        return index >= baseIndex && index <= lastIndex();
    }

    long termAt(long index) {
        return index == baseIndex ? baseTerm : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns the folder id of the last admission of a voter, committed or not; null if there is none. */
    String lastAdmittedFolder(InstanceId voter) {
        for (int i = entries.size() - 1; i >= 0; i--) {
            LogEntry e = entries.get(i);
            if (e.kind() == LogEntryKind.ADMIT) {
                LogAdmission a = LogAdmission.decode(e);
                if (a.voter().equals(voter)) {
                    return a.folder();
                }
            }
        }
        return null;
    }

    /** Returns the index of the last entry of a kind up to an index; zero if there is none after the snapshot. */
    long lastIndexOf(LogEntryKind kind, long upTo) {
        for (long i = Math.min(upTo, lastIndex()); i > baseIndex; i--) {
            if (get(i).kind() == kind) {
                return i;
            }
        }
        return 0;
    }

    void append(LogEntry entry) {
        entries.add(entry);
        bytes += LogLimits.bytesOf(entry);
    }

    void truncateFrom(long index) {
        int keep = (int) (index - baseIndex - 1);
        removeRange(keep, entries.size());
    }

    void discardUpTo(long index) {
        long term = termAt(index);
        removeRange(0, (int) (index - baseIndex));
        baseIndex = index;
        baseTerm = term;
    }

    List<LogEntry> entriesAfter(long index, int maxEntries) {
        int from = (int) (index - baseIndex);
        int to = Math.min(entries.size(), from + maxEntries);
        return List.copyOf(entries.subList(from, to));
    }

    /** Returns entries after an index: at least one if there is any, and none after the bound on bytes is reached. */
    List<LogEntry> batchAfter(long index, int maxEntries, long maxBytes) {
        List<LogEntry> batch = new ArrayList<>();
        long batchBytes = 0;
        for (long i = index + 1; i <= lastIndex() && batch.size() < maxEntries && batchBytes < maxBytes; i++) {
            batch.add(get(i));
            batchBytes += LogLimits.bytesOf(get(i));
        }
        return batch;
    }

    /** Returns the bytes of all entries. */
    long bytes() {
        return bytes;
    }

    /** Returns the bytes of the entries after an index. */
    long bytesAfter(long index) {
        return sumBytes(entries.subList((int) (index - baseIndex), entries.size()));
    }

    int size() {
        return entries.size();
    }

    private void removeRange(int from, int to) {
        List<LogEntry> removed = entries.subList(from, to);
        bytes -= sumBytes(removed);
        removed.clear();
    }

    private static long sumBytes(List<LogEntry> list) {
        return list.stream().mapToLong(LogLimits::bytesOf).sum();
    }
}
