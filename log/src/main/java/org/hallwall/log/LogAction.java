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

/** An action for a voter. Actions are carried out in order, each after the previous one has completed. */
public sealed interface LogAction {

    /**
     * Stores the term and the vote.
     *
     * @param vote the term and the vote
     */
    record SaveVote(LogVote vote) implements LogAction {}

    /**
     * Stores that the data folder is admitted.
     *
     * @param folder the folder
     */
    record SaveFolder(DataFolder folder) implements LogAction {}

    /**
     * Truncates the stored log at the index of the first entry and appends the entries.
     *
     * @param entries the entries; never empty
     */
    record SaveEntries(List<LogEntry> entries) implements LogAction {}

    /**
     * Stores a received snapshot, discards the entries it covers and restores the state machine.
     *
     * @param snapshot the snapshot
     * @param retained the entries after the snapshot that remain valid
     */
    record InstallSnapshot(LogSnapshot snapshot, List<LogEntry> retained) implements LogAction {}

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
     * @param sentAt the time of sending by the leader's clock
     */
    record SendSnapshot(InstanceId to, long term, long sentAt) implements LogAction {}
}
