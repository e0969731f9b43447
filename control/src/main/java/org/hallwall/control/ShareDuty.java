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
package org.hallwall.control;

import java.io.Closeable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.log.LogVoter;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceKind;
import org.hallwall.resource.ResourceMessage.DomainReport;
import org.jboss.logging.Logger;

/** Keeps the shares of model groups in the log up to date while this voter leads. */
public final class ShareDuty implements Closeable {

    private static final Logger LOG = Logger.getLogger(ShareDuty.class);
    private static final int RING = 16;
    private static final long TICK_MILLIS = 300;
    private static final long FRESH_MILLIS = 5_000;

    private final LogVoter voter;
    private final DeclarationMachine machine;
    private final StatusBoard board;
    private final CommandRouter router;
    private final long darkAfterMillis;
    private final DutyThread duty;

    /**
     * Creates the duty; {@link #start()} starts it.
     *
     * @param voter this voter
     * @param machine the declarations
     * @param board the reports of the failure domains
     * @param router submits changes
     * @param darkAfterMillis how long a failure domain must be silent before its shares move
     */
    public ShareDuty(
            LogVoter voter, DeclarationMachine machine, StatusBoard board, CommandRouter router, long darkAfterMillis) {
        this.voter = voter;
        this.machine = machine;
        this.board = board;
        this.router = router;
        this.darkAfterMillis = darkAfterMillis;
        this.duty = new DutyThread("shares", RING, TICK_MILLIS, this::tick);
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    @Override
    public void close() {
        duty.close();
    }

    private void tick() {
        if (!voter.holdsLease()) {
            return;
        }
        List<Resource> groups = machine.list(ResourceKind.MODEL_GROUP);
        ShareAssigner assigner = new ShareAssigner(free(groups));
        for (Resource r : groups) {
            ModelGroupSpec spec = r.read(ModelGroupSpec.class);
            Map<String, Integer> wanted = assigner.assign(spec.replicas(), spec.targetsPerReplica(), r.shares());
            if (!wanted.equals(r.shares()) && !wanted.isEmpty()) {
                submit(r, wanted);
                return;
            }
        }
    }

    private Map<FailureDomainId, Integer> free(List<Resource> groups) {
        Map<FailureDomainId, Integer> free = new HashMap<>();
        for (StatusBoard.Aged<DomainReport> a : board.domains()) {
            boolean holdsShares = groups.stream()
                    .anyMatch(g -> g.shares().containsKey(a.report().domain().value()));
            if (a.ageMillis() < (holdsShares ? darkAfterMillis : FRESH_MILLIS)) {
                free.put(a.report().domain(), a.report().targets());
            }
        }
        for (Resource g : groups) {
            for (String d : g.shares().keySet()) {
                // A domain that holds shares but was never heard keeps them until this leader has listened long enough.
                if (listening()) {
                    free.putIfAbsent(new FailureDomainId(d), 0);
                }
            }
        }
        return free;
    }

    private boolean listening() {
        return board.listeningMillis() < darkAfterMillis;
    }

    private void submit(Resource r, Map<String, Integer> wanted) {
        DeclarationCommand command = new DeclarationCommand(
                DeclarationCommand.Type.SHARE, r.kind(), r.name(), null, r.resourceVersion(), null, wanted);
        try {
            DeclarationOutcome outcome = router.submit(command).block();
            LOG.infof("control: shares of %s are %s, %s", r.name(), wanted, outcome.result());
        } catch (RuntimeException e) {
            LOG.warnf("control: shares of %s were not set, %s", r.name(), e.getMessage());
        }
    }
}
