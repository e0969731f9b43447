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

import java.util.List;

import org.hallwall.core.id.InstanceId;

/** What a voter has to do, in order; a later action must not start before an earlier one is done. */
public sealed interface LogAction {

    /**
     * Makes the term and the vote last.
     *
     * @param vote the term and the vote
     */
    record SaveVote(LogVote vote) implements LogAction {}

    /**
     * Makes it last that the data folder is admitted.
     *
     * @param folder the folder
     */
    record SaveFolder(LogFolder folder) implements LogAction {}

    /**
     * Cuts the stored log from the first entry's index on and makes the entries last.
     *
     * @param entries the entries; never empty
     */
    record SaveEntries(List<LogEntry> entries) implements LogAction {}

    /**
     * Makes a received snapshot last, drops the stored entries that it replaces and restores the state machine.
     *
     * @param snapshot the snapshot
     * @param kept the entries after it that stay
     */
    record Restore(LogSnapshot snapshot, List<LogEntry> kept) implements LogAction {}

    /**
     * Applies a committed entry.
     *
     * @param entry the entry
     */
    record Apply(LogEntry entry) implements LogAction {}

    /**
     * Sends a message.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(InstanceId to, LogMessage message) implements LogAction {}

    /**
     * Sends the latest snapshot.
     *
     * @param to the receiver
     * @param term the leader's term
     * @param sentAt the leader's clock
     */
    record SendSnapshot(InstanceId to, long term, long sentAt) implements LogAction {}
}
