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
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** Records the number of entries in the log; only the leader does. */
final class EntryCountService {

    private static final Logger LOG = Logger.getLogger(EntryCountService.class);

    private final InstanceId self;
    private final LogVoter voter;
    private final EntryReports reports;
    private boolean proposed;

    /**
     * Creates the service.
     *
     * @param self this instance
     * @param voter the voter of this instance
     * @param reports counts the entries that poll this instance
     */
    EntryCountService(InstanceId self, LogVoter voter, EntryReports reports) {
        this.self = self;
        this.voter = voter;
        this.reports = reports;
    }

    /** Proposes the number of entries if it differs from the recorded one; called with each poll of an entry. */
    synchronized void update() {
        if (proposed || !reports.isRecordOutdated() || !voter.holdsLease()) {
            return;
        }
        proposed = true;
        int count = reports.observedCount();
        Mono.fromFuture(() -> voter.propose(ControlStateMachine.entryCountCommand(count)))
                .doFinally(s -> clearProposal())
                .subscribe(
                        done -> LOG.infof("entries: %d share the limits", count),
                        e -> LOG.warnf("entries: the number was not committed, %s", e.getMessage()));
    }

    private synchronized void clearProposal() {
        proposed = false;
    }

    /** A leader without a lease may be partitioned from the others. */
    private boolean isFollowing() {
        InstanceId leader = voter.state().leader();
        return leader != null && (voter.holdsLease() || !leader.equals(self));
    }

    /**
     * Returns the number of entries that may share a system-wide limit, if a later leader knows all of them too.
     *
     * @return the number of entries; zero if it is unknown or not recorded yet
     */
    int committedCount() {
        return reports.isRecordOutdated() ? 0 : sharingCount();
    }

    /**
     * Returns the number of entries that may share a system-wide limit.
     *
     * @return the number of entries; zero until it is known after the start
     */
    int sharingCount() {
        return reports.sharingCount(isFollowing());
    }
}
