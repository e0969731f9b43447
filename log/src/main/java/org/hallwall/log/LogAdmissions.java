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

import java.util.HashMap;
import java.util.Map;

import org.hallwall.core.id.InstanceId;

/** Which data folder of each voter is admitted, as one replica knows it. Not safe for use by several threads. */
final class LogAdmissions {

    private final InstanceId self;
    private final LogIndex log;
    private final Map<String, String> committed = new HashMap<>();
    private LogFolder folder;

    LogAdmissions(InstanceId self, LogFolder folder, LogIndex log) {
        this.self = self;
        this.folder = folder;
        this.log = log;
    }

    void restore(Map<String, String> admitted) {
        committed.clear();
        committed.putAll(admitted);
    }

    Map<String, String> copy() {
        return Map.copyOf(committed);
    }

    LogFolder folder() {
        return folder;
    }

    void commit(LogAdmission a) {
        committed.put(a.voter().value(), a.folder());
    }

    boolean isCommitted(InstanceId voter, LogFolder speaking) {
        return speaking.id().equals(committed.get(voter.value()));
    }

    /**
     * Notes that this replica's own folder is admitted. A voter keeps that on its disk: after a restart it no longer knows
     * what was committed.
     *
     * @return true if that is news, so that it must be stored
     */
    boolean noteOwn() {
        if (folder.admitted() || !isCommitted(self, folder)) {
            return false;
        }
        folder = new LogFolder(folder.id(), true);
        return true;
    }

    boolean mayVote() {
        return counts(self, folder);
    }

    /**
     * Says whether a voter counts towards a quorum. An admission that is in the log, but not known to be committed, counts
     * if the voter itself says that it was: it says so only when it has learnt of the commit.
     */
    boolean counts(InstanceId voter, LogFolder speaking) {
        if (speaking == null) {
            return false;
        }
        String latest = log.lastAdmission(voter);
        String known = latest == null ? committed.get(voter.value()) : latest;
        boolean named = known == null || known.equals(speaking.id());
        return named && (isCommitted(voter, speaking) || speaking.admitted());
    }
}
