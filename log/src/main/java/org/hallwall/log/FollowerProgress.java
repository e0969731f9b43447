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

/** The replication progress of one follower, tracked by the leader. */
final class FollowerProgress {

    private long nextIndex;
    private long matchIndex;
    private long lastAckSentAt = Long.MIN_VALUE;
    private DataFolder folder;
    private long admissionIndex;
    private long snapshotSentAt = Long.MIN_VALUE;

    FollowerProgress(long nextIndex) {
        this.nextIndex = nextIndex;
    }

    void recordReply(DataFolder reportedFolder, long sentAt) {
        if (folder == null || !folder.id().equals(reportedFolder.id())) {
            matchIndex = 0;
            admissionIndex = 0;
        }
        folder = reportedFolder;
        lastAckSentAt = Math.max(lastAckSentAt, sentAt);
    }

    void onAccepted(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        snapshotSentAt = Long.MIN_VALUE;
    }

    void onRejected(long lastMatchHint) {
        nextIndex = Math.max(1, lastMatchHint + 1);
    }

    void markSentUpTo(long index) {
        nextIndex = index + 1;
    }

    boolean tryStartSnapshot(long now, long retryMillis) {
        if (snapshotSentAt != Long.MIN_VALUE && now - snapshotSentAt < retryMillis) {
            return false;
        }
        snapshotSentAt = now;
        return true;
    }

    long nextIndex() {
        return nextIndex;
    }

    long matchIndex() {
        return matchIndex;
    }

    long lastAckSentAt() {
        return lastAckSentAt;
    }

    DataFolder folder() {
        return folder;
    }

    boolean hasPendingAdmission() {
        return admissionIndex > 0;
    }

    void setAdmissionIndex(long index) {
        admissionIndex = index;
    }
}
