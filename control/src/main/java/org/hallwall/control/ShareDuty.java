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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.time.Ticker;
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
    private final Ticker ticker;
    private final DutyThread duty;
    private final Map<FailureDomainId, Long> strainedSince = new HashMap<>();

    /**
     * Creates the duty; {@link #start()} starts it.
     *
     * @param voter this voter
     * @param machine the declarations
     * @param board the reports of the failure domains
     * @param router submits changes
     * @param darkAfterMillis how long a failure domain must be silent, or lack targets, before its shares move
     * @param ticker the clock
     */
    public ShareDuty(
            LogVoter voter,
            DeclarationMachine machine,
            StatusBoard board,
            CommandRouter router,
            long darkAfterMillis,
            Ticker ticker) {
        this.voter = voter;
        this.machine = machine;
        this.board = board;
        this.router = router;
        this.darkAfterMillis = darkAfterMillis;
        this.ticker = ticker;
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
            strainedSince.clear();
            return;
        }
        List<Resource> groups = machine.list(ResourceKind.MODEL_GROUP);
        Map<FailureDomainId, Integer> free = free(groups);
        ShareAssigner assigner = new ShareAssigner(free, strained(free));
        for (Resource r : groups) {
            ModelGroupSpec spec = r.read(ModelGroupSpec.class);
            Map<String, Integer> wanted = assigner.assign(spec.replicas(), spec.targetsPerReplica(), r.shares());
            if (!wanted.equals(r.shares())) {
                submit(r, wanted);
                return;
            }
        }
    }

    /** The targets of each usable failure domain, less those that the current shares need. */
    private Map<FailureDomainId, Integer> free(List<Resource> groups) {
        Map<FailureDomainId, Integer> needed = needed(groups);
        Map<FailureDomainId, Integer> free = new HashMap<>();
        for (StatusBoard.Aged<DomainReport> a : board.domains()) {
            FailureDomainId domain = a.report().domain();
            long patience = needed.containsKey(domain) ? darkAfterMillis : FRESH_MILLIS;
            if (a.ageMillis() < patience) {
                free.put(domain, a.report().targets() - needed.getOrDefault(domain, 0));
            }
        }
        if (board.listeningMillis() < darkAfterMillis) {
            // A domain that holds shares keeps them until this leader has listened long enough to know that it is dark.
            needed.forEach((domain, targets) -> free.putIfAbsent(domain, -targets));
        }
        return free;
    }

    private static Map<FailureDomainId, Integer> needed(List<Resource> groups) {
        Map<FailureDomainId, Integer> out = new HashMap<>();
        for (Resource g : groups) {
            int size = g.read(ModelGroupSpec.class).targetsPerReplica();
            g.shares().forEach((domain, share) -> out.merge(new FailureDomainId(domain), share * size, Integer::sum));
        }
        return out;
    }

    private Set<FailureDomainId> strained(Map<FailureDomainId, Integer> free) {
        long now = ticker.millis();
        strainedSince.keySet().removeIf(d -> free.getOrDefault(d, 0) >= 0);
        Set<FailureDomainId> out = new HashSet<>();
        free.forEach((domain, left) -> {
            if (left < 0 && now - strainedSince.computeIfAbsent(domain, d -> now) >= darkAfterMillis) {
                out.add(domain);
            }
        });
        return out;
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
