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

/** Tracks the admitted data folder of each voter. Not thread-safe. */
final class LogAdmissions {

    private final InstanceId self;
    private final InMemoryLog log;
    private final Map<String, String> committed = new HashMap<>();
    private DataFolder folder;

    LogAdmissions(InstanceId self, DataFolder folder, InMemoryLog log) {
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

    DataFolder folder() {
        return folder;
    }

    void recordCommitted(LogAdmission admission) {
        committed.put(admission.voter().value(), admission.folder());
    }

    boolean isCommitted(InstanceId voter, DataFolder reportedFolder) {
        return reportedFolder.id().equals(committed.get(voter.value()));
    }

    /**
     * Marks this replica's own data folder as admitted once the admission is committed. The mark is stored, since the
     * commit index is lost on a restart.
     *
     * @return true if the mark is new and must be stored
     */
    boolean markOwnAdmitted() {
        if (folder.admitted() || !isCommitted(self, folder)) {
            return false;
        }
        folder = new DataFolder(folder.id(), true);
        return true;
    }

    boolean canVote() {
        return countsTowardQuorum(self, folder);
    }

    /**
     * Returns whether a voter counts towards a quorum. An admission in the log that is not known to be committed counts
     * if the voter reports its folder as admitted, since it does so only after learning of the commit.
     */
    boolean countsTowardQuorum(InstanceId voter, DataFolder reportedFolder) {
        if (reportedFolder == null) {
            return false;
        }
        String latest = log.lastAdmittedFolder(voter);
        String admittedId = latest == null ? committed.get(voter.value()) : latest;
        boolean matches = admittedId == null || admittedId.equals(reportedFolder.id());
        return matches && (isCommitted(voter, reportedFolder) || reportedFolder.admitted());
    }
}
