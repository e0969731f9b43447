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

/** What a leader knows of one other voter. */
final class LogFollower {

    private long next;
    private long match;
    private long heardSentAt = Long.MIN_VALUE;
    private LogFolder folder;
    private long admissionIndex;
    private long snapshotSentAt = Long.MIN_VALUE;

    LogFollower(long next) {
        this.next = next;
    }

    void heard(LogFolder speaking, long sentAt) {
        if (folder == null || !folder.id().equals(speaking.id())) {
            match = 0;
            admissionIndex = 0;
        }
        folder = speaking;
        heardSentAt = Math.max(heardSentAt, sentAt);
    }

    void accepted(long index) {
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        snapshotSentAt = Long.MIN_VALUE;
    }

    void rejected(long goOnAfter) {
        next = Math.max(1, goOnAfter + 1);
    }

    void sentUpTo(long index) {
        next = index + 1;
    }

    boolean maySendSnapshot(long now, long everyMillis) {
        if (snapshotSentAt != Long.MIN_VALUE && now - snapshotSentAt < everyMillis) {
            return false;
        }
        snapshotSentAt = now;
        return true;
    }

    long next() {
        return next;
    }

    long match() {
        return match;
    }

    long heardSentAt() {
        return heardSentAt;
    }

    LogFolder folder() {
        return folder;
    }

    boolean admissionPending() {
        return admissionIndex > 0;
    }

    void admissionAt(long index) {
        admissionIndex = index;
    }
}
