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

import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingNumber;
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

/** Runs for the controller's lease and, while it holds it, keeps the groups of the failure domain as declared. */
public final class DomainController implements Closeable {

    private static final Logger LOG = Logger.getLogger(DomainController.class);
    private static final int RING = 4_096;
    private static final long TICK_MILLIS = 100;
    private static final long BEACON_MILLIS = 300;
    private static final long REPORT_MILLIS = 1_000;

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
    private final DutyThread duty;
    private final FencingSequence fencing = new FencingSequence();
    private final DomainAccount account;
    private final GroupDrains drains;
    private final Map<InstanceId, Ordered> ordered = new HashMap<>();
    private volatile ControllerState state;
    private boolean held;
    private long heldSince;
    private long tickedAt;
    private long beaconAt;
    private long reportAt;

    /**
     * Creates the controller; {@link #start()} starts it.
     *
     * @param seat the place of this entry in the failure domain
     * @param directory what targets announce
     * @param declarations the declarations in force
     * @param peers the other entries of the failure domain
     * @param engines calls engines
     * @param ticker the clock
     * @param random the source of random delays
     */
    public DomainController(
            DomainSeat seat,
            TargetDirectory directory,
            Supplier<Declarations> declarations,
            DomainPeers peers,
            EngineClient engines,
            Ticker ticker,
            RandomGenerator random) {
        this.self = seat.self();
        this.domain = seat.domain();
        this.timing = seat.timing();
        this.directory = directory;
        this.declarations = declarations;
        this.peers = peers;
        this.engines = engines;
        this.ticker = ticker;
        this.maxLoads = seat.maxLoads();
        this.planner = new GroupPlanner(timing);
        this.account = new DomainAccount(seat);
        this.drains = new GroupDrains(timing);
        long now = ticker.millis();
        this.tickedAt = now;
        this.elector = new LeaseElector(self, peers.others().size() + 1, timing, random, now);
        this.duty = new DutyThread("controller", RING, TICK_MILLIS, this::tick);
        this.state = describe(now);
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /**
     * Takes a message about the lease.
     *
     * @param message the message
     */
    public void receive(LeaseMessage message) {
        duty.offer(() -> onLease(message));
    }

    /**
     * Takes the beacon of the controller, whose counters this process goes on with if it takes over.
     *
     * @param beacon the beacon
     */
    public void receive(DomainMessage.Beacon beacon) {
        duty.offer(() -> account.adopt(beacon));
    }

    /**
     * Takes an entry's answer to a beacon.
     *
     * @param report the answer
     */
    public void receive(DomainMessage.DrainReport report) {
        duty.offer(() -> drains.take(report, ticker.millis()));
    }

    /**
     * Gives the latest state.
     *
     * @return the state
     */
    public ControllerState state() {
        return state;
    }

    /** Gives the lease back and stops. */
    @Override
    public void close() {
        duty.offer(() -> {
            LeaseMessage.Release release = elector.release(ticker.millis());
            if (release != null) {
                peers.others().forEach(o -> peers.send(o, release));
            }
        });
        duty.close();
    }

    private void onLease(LeaseMessage message) {
        long now = ticker.millis();
        if (message instanceof LeaseMessage.Request m) {
            peers.send(m.candidate().instance(), elector.answer(now, m));
        } else if (message instanceof LeaseMessage.Reply m) {
            elector.receive(now, m);
        } else if (message instanceof LeaseMessage.Release m) {
            elector.receive(m);
        }
    }

    private void tick() {
        long now = ticker.millis();
        LeaseMessage message = elector.tick(now);
        if (message != null) {
            peers.others().forEach(o -> peers.send(o, message));
        }
        noteLease(now);
        if (held) {
            act(now);
        }
        tickedAt = now;
        state = describe(now);
    }

    private void noteLease(long now) {
        boolean holds = elector.holds(now);
        if (holds && !held) {
            heldSince = now;
            ordered.clear();
            drains.keepOnly(Set.of(), now);
            LOG.infof("domain: %s controls %s in term %d", self, domain, elector.term());
        } else if (!holds && held) {
            LOG.infof("domain: %s no longer controls %s", self, domain);
        }
        held = holds;
    }

    private boolean isActive(long now) {
        // A member that was not heard since a pause of this process must not be taken for lost.
        boolean heardAll = now - directory.listeningSince() >= timing.hearAll();
        return held && heardAll && now - heldSince >= timing.listenFirst();
    }

    private void act(long now) {
        List<KnownTarget> targets = engineTargets();
        Declarations declared = declarations.get();
        DomainView view = new DomainView(now, targets, wanted(declared), GroupViews.of(targets));
        if (isActive(now) && declared.version() > 0) {
            fencing.begin(elector.term());
            forgetAnnounced(now);
            plan(view);
        }
        account.measure(view, now - tickedAt);
        tellPeers(view);
    }

    private List<KnownTarget> engineTargets() {
        List<KnownTarget> out = new ArrayList<>();
        for (KnownTarget t : directory.list()) {
            fencing.saw(t.announcement().fencing());
            if (t.announcement().service() == null) {
                out.add(t);
            }
        }
        return out;
    }

    private List<WantedGroup> wanted(Declarations declared) {
        List<WantedGroup> out = new ArrayList<>();
        for (Map.Entry<ModelGroupId, Resource> e : declared.modelGroups().entrySet()) {
            int share = e.getValue().shares().getOrDefault(domain.value(), 0);
            ModelGroupSpec spec = declared.modelGroup(e.getKey());
            out.add(new WantedGroup(e.getKey(), e.getValue().generation(), spec, share));
        }
        return out;
    }

    // --- orders

    private void forgetAnnounced(long now) {
        ordered.entrySet().removeIf(e -> {
            KnownTarget t = directory.get(e.getKey());
            boolean announced = t != null && e.getValue().isAnnounced(t);
            return announced || now >= e.getValue().until;
        });
    }

    private void plan(DomainView view) {
        long now = view.now();
        Map<InstanceId, GroupId> moving = new HashMap<>();
        ordered.forEach((k, v) -> moving.put(k, v.group));
        Set<GroupId> drained = drains.drained(view.groups(), now);
        GroupPlanInput input = new GroupPlanInput(now, view.targets(), view.wanted(), moving, drained, maxLoads);
        Set<GroupId> draining = new HashSet<>();
        for (GroupStep step : planner.plan(input)) {
            if (step instanceof GroupStep.Form s) {
                form(now, s);
            } else if (step instanceof GroupStep.Dissolve s) {
                dissolve(now, s);
            } else if (step instanceof GroupStep.Drain s) {
                draining.add(s.group());
            }
        }
        drains.keepOnly(draining, now);
    }

    private void form(long now, GroupStep.Form step) {
        FencingNumber number = fencing.next();
        ModelGroupSpec spec = step.wanted().spec();
        GroupId group = GroupNames.of(step.wanted().modelGroup(), number);
        List<EngineOrder.Member> members = new ArrayList<>();
        for (InstanceId m : step.members()) {
            members.add(
                    new EngineOrder.Member(m, directory.get(m).announcement().address()));
        }
        LOG.infof("domain: forms %s of %s", group, step.members());
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.JOIN,
                group,
                step.wanted().modelGroup(),
                number,
                System.currentTimeMillis() + timing.orderExpiry(),
                members,
                spec.model(),
                spec.version(),
                spec.adapters(),
                spec.role().name());
        for (InstanceId m : step.members()) {
            send(now, m, order);
        }
    }

    private void dissolve(long now, GroupStep.Dissolve step) {
        FencingNumber number = fencing.next();
        LOG.infof("domain: dissolves %s, frees %s", step.group(), step.members());
        long expiresAt = System.currentTimeMillis() + timing.orderExpiry();
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LEAVE, step.group(), null, number, expiresAt, List.of(), null, null, null, null);
        for (InstanceId m : step.members()) {
            send(now, m, order);
        }
    }

    /** The lease is checked right before each send; what is left is a freeze between the check and the send. */
    private void send(long now, InstanceId target, EngineOrder order) {
        if (!elector.holds(ticker.millis())) {
            return;
        }
        long until = now + timing.orderExpiry() + 2 * timing.announceLease();
        ordered.put(target, new Ordered(order.kind(), order.group(), until));
        engines.order(directory.get(target).announcement().address(), order)
                .subscribe(v -> {}, e -> duty.offer(() -> onOrderFailed(target, order, e)));
    }

    private void onOrderFailed(InstanceId target, EngineOrder order, Throwable e) {
        LOG.warnf("domain: an order to %s failed, %s", target, e.getMessage());
        Ordered o = ordered.get(target);
        boolean notTaken = e instanceof EngineException x && x.verdict() == Verdict.NOT_RUN;
        if (notTaken && o != null && o.group.equals(order.group())) {
            ordered.remove(target);
        }
    }

    private void tellPeers(DomainView view) {
        long now = view.now();
        if (now - beaconAt >= BEACON_MILLIS) {
            beaconAt = now;
            DomainMessage.Beacon beacon = account.beacon(elector.term(), drains.draining());
            peers.others().forEach(o -> peers.send(o, beacon));
            peers.send(self, beacon);
        }
        if (now - reportAt >= REPORT_MILLIS) {
            reportAt = now;
            peers.sendToVoters(account.report(view, elector.term()));
        }
    }

    private ControllerState describe(long now) {
        ControllerState.Phase phase = ControllerState.Phase.STANDBY;
        if (held) {
            phase = isActive(now) ? ControllerState.Phase.ACTIVE : ControllerState.Phase.LISTENING;
        }
        Map<String, GroupId> moving = new TreeMap<>();
        ordered.forEach((k, v) -> moving.put(k.value(), v.group));
        return new ControllerState(
                phase,
                elector.holder(now),
                elector.term(),
                fencing.last().value(),
                moving,
                drains.draining(),
                duty.state());
    }

    /** An order that the target has not announced yet. */
    private record Ordered(EngineOrder.Kind kind, GroupId group, long until) {

        boolean isAnnounced(KnownTarget t) {
            boolean member = t.announcement().membership() != null
                    && t.announcement().membership().group().equals(group);
            return (kind == EngineOrder.Kind.JOIN) == member;
        }
    }
}
