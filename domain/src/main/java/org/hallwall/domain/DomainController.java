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
package org.hallwall.domain;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.EngineException;
import org.hallwall.engine.EngineOrder;
import org.hallwall.resource.Declarations;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.Resource;
import org.jboss.logging.Logger;

/**
 * Competes for the controller lease of a failure domain and, while it holds the lease, reconciles the groups of the
 * domain with the declarations.
 */
public final class DomainController implements Closeable {

    private static final Logger LOG = Logger.getLogger(DomainController.class);
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long BEACON_INTERVAL_MILLIS = 300;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final InstanceId self;
    private final FailureDomainId domain;
    private final DomainTiming timing;
    private final TargetDirectory directory;
    private final Supplier<Declarations> declarations;
    private final DomainPeers peers;
    private final EngineClient engines;
    private final Ticker ticker;
    private final int maxLoads;
    private final LeaseElector elector;
    private final GroupPlanner planner;
    private final EventLoopThread duty;
    private final FencingSequence fencing = new FencingSequence();
    private final DomainStatusReporter reporter;
    private final DrainTracker drainTracker;
    private final Map<InstanceId, PendingOrder> pendingOrders = new HashMap<>();
    private volatile ControllerState state;
    private boolean holdsLease;
    private long leaseAcquiredAt;
    private long lastTickAt;
    private long lastBeaconAt;
    private long lastReportAt;

    /**
     * Creates the controller; {@link #start()} starts it.
     *
     * @param config the configuration of the controller
     * @param directory the latest announcement of each target
     * @param declarations supplies the current declarations
     * @param peers sends messages to the other entries of the failure domain
     * @param engines the client for engines
     * @param ticker the monotonic clock
     * @param random the source of random delays
     */
    public DomainController(
            DomainControllerConfig config,
            TargetDirectory directory,
            Supplier<Declarations> declarations,
            DomainPeers peers,
            EngineClient engines,
            Ticker ticker,
            RandomGenerator random) {
        this.self = config.self();
        this.domain = config.domain();
        this.timing = config.timing();
        this.directory = directory;
        this.declarations = declarations;
        this.peers = peers;
        this.engines = engines;
        this.ticker = ticker;
        this.maxLoads = config.maxLoads();
        this.planner = new GroupPlanner(timing);
        this.reporter = new DomainStatusReporter(config);
        this.drainTracker = new DrainTracker(timing);
        long now = ticker.millis();
        this.lastTickAt = now;
        this.elector = new LeaseElector(self, peers.otherEntries().size() + 1, timing, random, now);
        this.duty = new EventLoopThread("controller", QUEUE_CAPACITY, TICK_INTERVAL_MILLIS, this::tick);
        this.state = currentState(now);
    }

    /** Starts the controller thread. */
    public void start() {
        duty.start();
    }

    /**
     * Enqueues a lease message for the controller thread.
     *
     * @param message the message
     */
    public void receive(LeaseMessage message) {
        duty.offer(() -> handleLeaseMessage(message));
    }

    /**
     * Enqueues a beacon. Its counters are merged so that they continue if this process becomes the controller.
     *
     * @param beacon the beacon
     */
    public void receive(DomainMessage.Beacon beacon) {
        duty.offer(() -> reporter.mergeCounters(beacon));
    }

    /**
     * Enqueues an entry's report of its runs on draining groups.
     *
     * @param report the report
     */
    public void receive(DomainMessage.DrainReport report) {
        duty.offer(() -> drainTracker.recordReport(report, ticker.millis()));
    }

    /**
     * Returns the state as of the last tick.
     *
     * @return the state
     */
    public ControllerState state() {
        return state;
    }

    /** Releases the lease and stops the controller thread. */
    @Override
    public void close() {
        duty.offer(() -> {
            LeaseMessage.Release release = elector.release(ticker.millis());
            if (release != null) {
                peers.otherEntries().forEach(p -> peers.send(p, release));
            }
        });
        duty.close();
    }

    private void handleLeaseMessage(LeaseMessage message) {
        long now = ticker.millis();
        if (message instanceof LeaseMessage.Request m) {
            peers.send(m.candidate().instance(), elector.handleRequest(now, m));
        } else if (message instanceof LeaseMessage.Reply m) {
            elector.handleReply(now, m);
        } else if (message instanceof LeaseMessage.Release m) {
            elector.handleRelease(m);
        }
    }

    private void tick() {
        long now = ticker.millis();
        LeaseMessage message = elector.tick(now);
        if (message != null) {
            peers.otherEntries().forEach(p -> peers.send(p, message));
        }
        updateLeaseState(now);
        if (holdsLease) {
            reconcile(now);
        }
        lastTickAt = now;
        state = currentState(now);
    }

    private void updateLeaseState(long now) {
        boolean heldNow = elector.holdsLease(now);
        if (heldNow && !holdsLease) {
            leaseAcquiredAt = now;
            pendingOrders.clear();
            drainTracker.updateDraining(Set.of(), now);
            LOG.infof("domain: %s acquired the controller lease of %s in term %d", self, domain, elector.term());
        } else if (!heldNow && holdsLease) {
            LOG.infof("domain: %s lost the controller lease of %s", self, domain);
        }
        holdsLease = heldNow;
    }

    private boolean isActive(long now) {
        // After a pause of this process, a member is not considered lost until all targets had time to announce
        // themselves.
        boolean allDiscovered = now - directory.receivingSince() >= timing.fullDiscoveryTime();
        return holdsLease && allDiscovered && now - leaseAcquiredAt >= timing.initialListenTime();
    }

    private void reconcile(long now) {
        List<AnnouncedTarget> targets = engineTargets();
        Declarations declared = declarations.get();
        DomainSnapshot snapshot = new DomainSnapshot(now, targets, desiredGroups(declared), GroupViews.of(targets));
        if (isActive(now) && declared.version() > 0) {
            fencing.startTerm(elector.term());
            removeConfirmedOrders(now);
            executePlan(snapshot);
        }
        reporter.updateCounters(snapshot, now - lastTickAt);
        publishStatus(snapshot);
    }

    private List<AnnouncedTarget> engineTargets() {
        List<AnnouncedTarget> out = new ArrayList<>();
        for (AnnouncedTarget t : directory.list()) {
            fencing.observe(t.announcement().fencing());
            if (t.announcement().service() == null) {
                out.add(t);
            }
        }
        return out;
    }

    private List<DesiredModelGroup> desiredGroups(Declarations declared) {
        List<DesiredModelGroup> out = new ArrayList<>();
        for (Map.Entry<ModelGroupId, Resource> e : declared.modelGroups().entrySet()) {
            int share = e.getValue().shares().getOrDefault(domain.value(), 0);
            ModelGroupSpec spec = declared.modelGroupSpec(e.getKey());
            out.add(new DesiredModelGroup(e.getKey(), e.getValue().generation(), spec, share));
        }
        return out;
    }

    // --- orders

    private void removeConfirmedOrders(long now) {
        pendingOrders.entrySet().removeIf(e -> {
            AnnouncedTarget t = directory.get(e.getKey());
            boolean announced = t != null && e.getValue().isConfirmedBy(t);
            return announced || now >= e.getValue().expiresAt;
        });
    }

    private void executePlan(DomainSnapshot snapshot) {
        long now = snapshot.now();
        Map<InstanceId, GroupId> pendingGroups = new HashMap<>();
        pendingOrders.forEach((k, v) -> pendingGroups.put(k, v.group));
        Set<GroupId> drained = drainTracker.findDrained(snapshot.groups(), now);
        GroupPlanInput input =
                new GroupPlanInput(now, snapshot.targets(), snapshot.wanted(), pendingGroups, drained, maxLoads);
        Set<GroupId> draining = new HashSet<>();
        for (GroupStep step : planner.plan(input)) {
            if (step instanceof GroupStep.Form s) {
                formGroup(now, s);
            } else if (step instanceof GroupStep.Dissolve s) {
                dissolveGroup(now, s);
            } else if (step instanceof GroupStep.Drain s) {
                draining.add(s.group());
            }
        }
        drainTracker.updateDraining(draining, now);
    }

    private void formGroup(long now, GroupStep.Form step) {
        FencingToken token = fencing.next();
        ModelGroupSpec spec = step.wanted().spec();
        GroupId group = GroupNames.of(step.wanted().modelGroup(), token);
        List<EngineOrder.Member> members = new ArrayList<>();
        for (InstanceId m : step.members()) {
            members.add(
                    new EngineOrder.Member(m, directory.get(m).announcement().address()));
        }
        LOG.infof("domain: forming group %s with members %s", group, step.members());
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.JOIN,
                group,
                step.wanted().modelGroup(),
                token,
                System.currentTimeMillis() + timing.orderExpiry(),
                members,
                spec.model(),
                spec.version(),
                spec.adapters(),
                spec.role().name());
        for (InstanceId m : step.members()) {
            sendOrder(now, m, order);
        }
    }

    private void dissolveGroup(long now, GroupStep.Dissolve step) {
        FencingToken token = fencing.next();
        LOG.infof("domain: dissolving group %s, releasing members %s", step.group(), step.members());
        long expiresAt = System.currentTimeMillis() + timing.orderExpiry();
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LEAVE, step.group(), null, token, expiresAt, List.of(), null, null, null, null);
        for (InstanceId m : step.members()) {
            sendOrder(now, m, order);
        }
    }

    /**
     * Sends an order if the lease is still held. A pause between the check and the send is not detected here; targets
     * that check fencing numbers reject an order that is then outdated.
     */
    private void sendOrder(long now, InstanceId target, EngineOrder order) {
        if (!elector.holdsLease(ticker.millis())) {
            return;
        }
        long expiresAt = now + timing.orderExpiry() + 2 * timing.announcementTtl();
        pendingOrders.put(target, new PendingOrder(order.kind(), order.group(), expiresAt));
        engines.sendOrder(directory.get(target).announcement().address(), order)
                .subscribe(v -> {}, e -> duty.offer(() -> onOrderFailed(target, order, e)));
    }

    private void onOrderFailed(InstanceId target, EngineOrder order, Throwable e) {
        LOG.warnf("domain: order to target %s failed: %s", target, e.getMessage());
        PendingOrder pending = pendingOrders.get(target);
        boolean notExecuted = e instanceof EngineException x && x.verdict() == Verdict.NOT_RUN;
        if (notExecuted && pending != null && pending.group.equals(order.group())) {
            pendingOrders.remove(target);
        }
    }

    private void publishStatus(DomainSnapshot snapshot) {
        long now = snapshot.now();
        if (now - lastBeaconAt >= BEACON_INTERVAL_MILLIS) {
            lastBeaconAt = now;
            DomainMessage.Beacon beacon = reporter.createBeacon(elector.term(), drainTracker.draining());
            peers.otherEntries().forEach(p -> peers.send(p, beacon));
            peers.send(self, beacon);
        }
        if (now - lastReportAt >= REPORT_INTERVAL_MILLIS) {
            lastReportAt = now;
            peers.sendToVoters(reporter.createReport(snapshot, elector.term()));
        }
    }

    private ControllerState currentState(long now) {
        ControllerState.Phase phase = ControllerState.Phase.STANDBY;
        if (holdsLease) {
            phase = isActive(now) ? ControllerState.Phase.ACTIVE : ControllerState.Phase.LISTENING;
        }
        Map<String, GroupId> pendingGroups = new TreeMap<>();
        pendingOrders.forEach((k, v) -> pendingGroups.put(k.value(), v.group));
        return new ControllerState(
                phase,
                elector.grantee(now),
                elector.term(),
                fencing.last().value(),
                pendingGroups,
                drainTracker.draining(),
                duty.state());
    }

    /** An order that the target has not yet confirmed by an announcement. */
    private record PendingOrder(EngineOrder.Kind kind, GroupId group, long expiresAt) {

        boolean isConfirmedBy(AnnouncedTarget t) {
            boolean member = t.announcement().membership() != null
                    && t.announcement().membership().group().equals(group);
            return (kind == EngineOrder.Kind.JOIN) == member;
        }
    }
}
