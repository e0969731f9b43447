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

import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogVoter;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceKind;
import org.hallwall.resource.ResourceMessage.DomainReport;
import org.jboss.logging.Logger;

/** Reconciles the shares of model groups with the reported targets while this voter is the leader. */
public final class ShareReconciler implements Closeable {

    private static final Logger LOG = Logger.getLogger(ShareReconciler.class);
    private static final int QUEUE_CAPACITY = 16;
    private static final long TICK_INTERVAL_MILLIS = 300;
    private static final long REPORT_TTL_MILLIS = 5_000;

    private final LogVoter voter;
    private final DeclarationStateMachine machine;
    private final ReportRegistry reports;
    private final CommandRouter router;
    private final long darkAfterMillis;
    private final Ticker ticker;
    private final EventLoopThread duty;
    private final Map<FailureDomainId, Long> overcommittedSince = new HashMap<>();

    /**
     * Creates the reconciler; {@link #start()} starts it.
     *
     * @param voter this voter
     * @param machine the replicated declarations
     * @param reports the reports of the failure domains
     * @param router submits changes
     * @param darkAfterMillis how long a domain must be without reports, or overcommitted, before its shares move
     * @param ticker the monotonic clock
     */
    public ShareReconciler(
            LogVoter voter,
            DeclarationStateMachine machine,
            ReportRegistry reports,
            CommandRouter router,
            long darkAfterMillis,
            Ticker ticker) {
        this.voter = voter;
        this.machine = machine;
        this.reports = reports;
        this.router = router;
        this.darkAfterMillis = darkAfterMillis;
        this.ticker = ticker;
        this.duty = new EventLoopThread("shares", QUEUE_CAPACITY, TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Starts the reconciler thread. */
    public void start() {
        duty.start();
    }

    @Override
    public void close() {
        duty.close();
    }

    private void tick() {
        if (!voter.holdsLease()) {
            overcommittedSince.clear();
            return;
        }
        List<Resource> groups = machine.list(ResourceKind.MODEL_GROUP);
        Map<FailureDomainId, Integer> free = freeTargets(groups);
        ShareAssigner assigner = new ShareAssigner(free, findOvercommitted(free));
        for (Resource r : groups) {
            ModelGroupSpec spec = r.readSpec(ModelGroupSpec.class);
            Map<String, Integer> wanted = assigner.assign(spec.replicas(), spec.targetsPerReplica(), r.shares());
            if (!wanted.equals(r.shares())) {
                submitShares(r, wanted);
                return;
            }
        }
    }

    /** Returns the targets of each usable failure domain less those required by its current shares. */
    private Map<FailureDomainId, Integer> freeTargets(List<Resource> groups) {
        Map<FailureDomainId, Integer> inUse = targetsInUse(groups);
        Map<FailureDomainId, Integer> free = new HashMap<>();
        for (ReportRegistry.AgedReport<DomainReport> a : reports.domains()) {
            FailureDomainId domain = a.report().domain();
            long timeout = inUse.containsKey(domain) ? darkAfterMillis : REPORT_TTL_MILLIS;
            if (a.ageMillis() < timeout) {
                free.put(domain, a.report().targets() - inUse.getOrDefault(domain, 0));
            }
        }
        if (reports.uptimeMillis() < darkAfterMillis) {
            // Until this voter has run long enough to tell that a domain is unreachable, domains keep their shares.
            inUse.forEach((domain, targets) -> free.putIfAbsent(domain, -targets));
        }
        return free;
    }

    private static Map<FailureDomainId, Integer> targetsInUse(List<Resource> groups) {
        Map<FailureDomainId, Integer> out = new HashMap<>();
        for (Resource g : groups) {
            int size = g.readSpec(ModelGroupSpec.class).targetsPerReplica();
            g.shares().forEach((domain, share) -> out.merge(new FailureDomainId(domain), share * size, Integer::sum));
        }
        return out;
    }

    private Set<FailureDomainId> findOvercommitted(Map<FailureDomainId, Integer> free) {
        long now = ticker.millis();
        overcommittedSince.keySet().removeIf(d -> free.getOrDefault(d, 0) >= 0);
        Set<FailureDomainId> out = new HashSet<>();
        free.forEach((domain, left) -> {
            if (left < 0 && now - overcommittedSince.computeIfAbsent(domain, d -> now) >= darkAfterMillis) {
                out.add(domain);
            }
        });
        return out;
    }

    private void submitShares(Resource r, Map<String, Integer> wanted) {
        DeclarationCommand command = new DeclarationCommand(
                DeclarationCommand.Type.SHARE, r.kind(), r.name(), null, r.resourceVersion(), null, wanted);
        try {
            DeclarationOutcome outcome = router.submit(command).block();
            LOG.infof("control: set shares of %s to %s: %s", r.name(), wanted, outcome.result());
        } catch (RuntimeException e) {
            LOG.warnf("control: failed to set shares of %s: %s", r.name(), e.getMessage());
        }
    }
}
