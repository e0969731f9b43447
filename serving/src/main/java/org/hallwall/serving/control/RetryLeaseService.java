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
package org.hallwall.serving.control;

import org.hallwall.core.id.InstanceId;
import org.hallwall.log.LogVoter;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.RetryLeaseGrant;

/** Leases retries to entries while this instance leads. */
final class RetryLeaseService {

    private final LogVoter voter;
    private final EntryCountService entryCount;
    private final EntryReports entries;
    private final RetryLeaseTable table = new RetryLeaseTable();

    /**
     * Creates the service.
     *
     * @param voter the voter of this instance
     * @param entryCount the number of entries in the log
     * @param entries the entries that poll this instance
     */
    RetryLeaseService(LogVoter voter, EntryCountService entryCount, EntryReports entries) {
        this.voter = voter;
        this.entryCount = entryCount;
        this.entries = entries;
    }

    /**
     * Answers the report of leases in a poll.
     *
     * @param from the entry
     * @param poll its poll
     * @return the answer; null if there is no report, or this instance does not lead
     */
    RetryLeaseGrant answer(InstanceId from, FeedMessage.Poll poll) {
        if (poll.retryLeases() == null || poll.process() == null || !voter.holdsLease()) {
            return null;
        }
        return table.update(
                voter.state().term(),
                entryCount.committedCount(),
                entries::hasPolled,
                from,
                poll.process(),
                poll.retryLeases());
    }
}
