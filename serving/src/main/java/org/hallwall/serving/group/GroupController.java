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
package org.hallwall.serving.group;

import java.io.Closeable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogVoter;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.config.TargetService;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.FeedMessage.HeadCheckResult;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.FeedMessage.SuspectCheckResult;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.TargetDirectory.AnnouncedTarget;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Controls the groups while this voter is the leader. The leader's term is the fencing token, and leadership is confirmed
 * before each round of orders.
 */
public final class GroupController implements Closeable {

    private static final Logger LOG = Logger.getLogger(GroupController.class);
    private static final int QUEUE_CAPACITY = 512;
    private static final long TICK_MILLIS = 50;
    /** How long a new leader collects heartbeats from the other control instances before it acts, in milliseconds: two polls. */
    private static final long SETTLING_MILLIS = 800;
    /** The retry delay of an order without an answer, in milliseconds. */
    private static final long UNANSWERED_RETRY_MILLIS = 350;
    /** The retry delay of an accepted order whose effect is not announced, in milliseconds. */
    private static final long ACCEPTED_RETRY_MILLIS = 2_500;
    /** The retry delay of an accepted load whose completion is not announced, in milliseconds. */
    private static final long LOAD_RETRY_MILLIS = 45_000;

    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(300);
    /** The number of missed heartbeats after which an engine is not assigned to groups or loads. */
    private static final double MISSED_HEARTBEATS = 2.5;
    /** An engine without heartbeats for this long is considered dead, in milliseconds; a partitioned engine may serve until then. */
    private static final long DEAD_AFTER_MILLIS = 20_000;

    /** At the first start, the age of the process from which on the limits on loads are raised, in milliseconds. */
    private static final long BOOST_START_MILLIS = 4_000;
    /** The interval at which the limits on loads are raised by another multiple, in milliseconds. */
    private static final long BOOST_STEP_MILLIS = 1_000;
    /** How long the limits stay raised, in milliseconds; it ends before requests arrive, 15 s after the instances start. */
    private static final long BOOST_DURATION_MILLIS = 6_500;

    /** The number of queries per step of engines in planned groups, which verify their memberships before they are needed. */
    private static final int BACKGROUND_QUERIES = 1;

    /** The interval between status lines in the log, in milliseconds. */
    private static final long STATUS_INTERVAL_MILLIS = 2_000;

    private final LogVoter voter;
    private final ControllerInputs inputs;
    private final TargetGateway gateway;
    private final Consumer<Set<InstanceId>> lostListener;
    private final ControllerTiming timing;
    private final Mechanisms mechanisms;
    private final Ticker ticker;
    private final EventLoopThread eventLoop;
    private final Map<String, GroupPlan> plans = new HashMap<>();
    private final Map<String, StagingPlan> stagings = new HashMap<>();
    private final OrderTracker orderTracker = new OrderTracker();
    private final Map<InstanceId, Long> unresponsiveAt = new HashMap<>();
    private final SuspectTracker suspects = new SuspectTracker();
    private final GroupProbes probes;
    private final MembershipVerifier verifier;
    private final LoadThrottle throttle = new LoadThrottle();
    private final long startedAt;
    private long term = -1;
    private long leaderSince;
    private long lastStatusAt;
    private volatile boolean confirmingLeadership;

    /**
     * Creates a controller; {@link #start()} starts it.
     *
     * @param voter the voter of this instance
     * @param inputs the inputs of the decisions
     * @param gateway sends orders and probes to targets
     * @param lostListener receives the targets that are considered dead
     * @param timing the time limits
     * @param mechanisms the enabled mechanisms
     * @param ticker the clock
     */
    public GroupController(
            LogVoter voter,
            ControllerInputs inputs,
            TargetGateway gateway,
            Consumer<Set<InstanceId>> lostListener,
            ControllerTiming timing,
            Mechanisms mechanisms,
            Ticker ticker) {
        this.voter = voter;
        this.inputs = inputs;
        this.gateway = gateway;
        this.lostListener = lostListener;
        this.timing = timing;
        this.mechanisms = mechanisms;
        this.ticker = ticker;
        this.probes = new GroupProbes(gateway, inputs.directory(), this::markUnresponsive, ticker);
        this.startedAt = ticker.millis();
        this.eventLoop = new EventLoopThread("groups", QUEUE_CAPACITY, TICK_MILLIS, this::confirmLeadership);
        this.verifier = new MembershipVerifier(gateway, eventLoop::offer, this::probeHead, ticker);
    }

    /** Starts the controller's thread. */
    public void start() {
        eventLoop.start();
    }

    /** Schedules a step after a change. */
    public void requestStep() {
        eventLoop.offer(this::confirmLeadership);
    }

    /**
     * Probes the members of a group whose head has stalled.
     *
     * @param report the report of the stalled head
     * @return the finding; never an error
     */
    public Mono<HeadCheckResult> handleStalledHead(StalledHead report) {
        return runOnEventLoop(report.group(), () -> probe(report));
    }

    /**
     * Applies an entry's finding on members that did not answer the controller.
     *
     * @param result the entry's finding
     * @return whether the group has lost a member; never an error
     */
    public Mono<HeadCheckResult> handleSuspectFinding(SuspectCheckResult result) {
        return runOnEventLoop(result.group(), () -> {
            long now = ticker.millis();
            result.reached().forEach(id -> suspects.markReachable(id, now));
            for (InstanceId id : result.silent()) {
                LOG.warnf(
                        "groups: an entry cannot reach %s of group %s either, considering it dead", id, result.group());
                suspects.markLost(id);
                unresponsiveAt.put(id, now);
            }
            confirmLeadership();
            boolean working = result.silent().isEmpty();
            return Mono.just(finding(result.group(), working ? GroupLiveness.WORKING : GroupLiveness.LOST));
        });
    }

    private Mono<HeadCheckResult> runOnEventLoop(String group, Supplier<Mono<HeadCheckResult>> work) {
        return Mono.create(sink -> {
            if (!eventLoop.offer(() -> work.get().subscribe(sink::success))) {
                LOG.warnf("groups: queue is full, the liveness of %s is unknown", group);
                sink.success(finding(group, GroupLiveness.UNKNOWN));
            }
        });
    }

    private static HeadCheckResult finding(String group, GroupLiveness liveness) {
        return new HeadCheckResult(group, liveness, List.of());
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void confirmLeadership() {
        if (!voter.holdsLease()) {
            lostListener.accept(Set.of());
            return;
        }
        if (confirmingLeadership) {
            return;
        }
        confirmingLeadership = true;
        voter.leaseReadIndex().whenComplete((index, e) -> {
            boolean accepted = eventLoop.offer(() -> {
                confirmingLeadership = false;
                if (e == null) {
                    runStep();
                }
            });
            if (!accepted) {
                // the queue is full: the next tick asks again
                confirmingLeadership = false;
            }
        });
    }

    private void runStep() {
        long now = ticker.millis();
        long current = voter.state().term();
        if (current != term) {
            LOG.infof("groups: leading in term %d", current);
            term = current;
            leaderSince = now;
            plans.clear();
            stagings.clear();
            orderTracker.clear();
            verifier.clear();
            if (!timing.firstStart() || now - startedAt > BOOST_START_MILLIS + BOOST_DURATION_MILLIS) {
                throttle.recordTakeover(now);
            }
        }
        boolean settled = timing.firstStart() || now - leaderSince >= SETTLING_MILLIS;
        if (!settled || now - startedAt < timing.discoveryMillis()) {
            return;
        }
        List<AnnouncedTarget> all = new ArrayList<>(inputs.directory().list());
        markLost(now, all);
        verifier.retain(all.stream().map(t -> t.record().instance()).toList());
        for (TargetService s : inputs.configuration().get().engineServices().values()) {
            updateService(now, s, all);
        }
    }

    private void updateService(long now, TargetService service, List<AnnouncedTarget> all) {
        Map<InstanceId, Engine> engines = new HashMap<>();
        for (AnnouncedTarget t : all) {
            if (t.record().service().equals(service.name())) {
                engines.put(t.record().instance(), toEngine(now, t));
            }
        }
        EngineSpec spec = service.engine();
        GroupPlan plan = plans.computeIfAbsent(service.name(), n -> new GroupPlan(term, mechanisms));
        StagingPlan staging = stagings.computeIfAbsent(service.name(), n -> new StagingPlan(mechanisms));
        for (GroupAction a : plan.step(now, spec, inputs.streams().get(), engines)) {
            sendIfDue(now, a);
        }
        List<Engine> unassigned = plan.unassignedEngines(engines);
        verifier.query(unassigned, Integer.MAX_VALUE);
        verifier.query(engines.values().stream().filter(Engine::isUsable).toList(), BACKGROUND_QUERIES);
        for (StageOrder o : staging.step(now, spec, plan.packing(), plan.freeEngines(engines), engines)) {
            startLoad(now, spec, staging, o);
        }
        logStatus(now, service.name(), plan, engines);
        orderTracker.removeTargets(id -> inputs.directory().find(id) == null);
        releaseLoads(engines);
    }

    /** Logs the serving groups and the idle engines at regular intervals. */
    private void logStatus(long now, String service, GroupPlan plan, Map<InstanceId, Engine> engines) {
        if (now - lastStatusAt < STATUS_INTERVAL_MILLIS) {
            return;
        }
        lastStatusAt = now;
        Map<String, Integer> idle = new TreeMap<>();
        plan.freeEngines(engines).forEach((domain, free) -> idle.put(domain, free.size()));
        long lost = engines.values().stream().filter(Engine::lost).count();
        LOG.infof(
                "groups: %s: %s serve, idle by fabric domain %s, %d of %d engines lost, %d loads run",
                service,
                plan.openGroupCounts(engines),
                idle,
                lost,
                engines.size(),
                throttle.runningLoads().size());
    }

    private void markLost(long now, List<AnnouncedTarget> all) {
        Set<InstanceId> lost = new HashSet<>();
        for (AnnouncedTarget t : all) {
            if (isLost(now, t)) {
                lost.add(t.record().instance());
            }
        }
        lostListener.accept(lost);
    }

    private boolean isLost(long now, AnnouncedTarget t) {
        Long failedAt = unresponsiveAt.get(t.record().instance());
        boolean replaced = t.record().presence() == TargetRecord.Presence.REPLACED;
        boolean failed = failedAt != null && failedAt > t.heardAt();
        return replaced || failed || now - t.heardAt() > DEAD_AFTER_MILLIS;
    }

    private Engine toEngine(long now, AnnouncedTarget t) {
        long silence = now - t.heardAt();
        boolean lost = isLost(now, t);
        boolean silent = silence > timing.heartbeatMillis() * MISSED_HEARTBEATS;
        TargetRecord r = verifier.merge(t.record());
        String lastModel = t.lastModel() == null ? r.model() : t.lastModel();
        return new Engine(r, lastModel, lost, silent, verifier.state(r.instance()));
    }

    /** Releases loads whose target announces the model or is no longer usable. */
    private void releaseLoads(Map<InstanceId, Engine> engines) {
        throttle.runningLoads().forEach((id, model) -> {
            Engine e = engines.get(id);
            if (e != null && (!e.isUsable() || e.hasStaged(model))) {
                throttle.release(id);
            }
        });
    }

    /** Starts a load if the limits allow it; loads of spares have lower limits than loads that complete a group. */
    private void startLoad(long now, EngineSpec spec, StagingPlan staging, StageOrder order) {
        GroupAction a = order.toAction();
        int factor = loadLimitFactor(now);
        int maxConcurrent = spec.maxConcurrentLoads() * factor;
        double rate = spec.maxLoadsPerSecond() * factor;
        InstanceId id = order.target().id();
        boolean spare = order.isSpare() && factor == 1;
        boolean starts = orderTracker.isDue(a, now)
                && (spare
                        ? throttle.tryStartSpare(id, order.model(), rate, maxConcurrent, now)
                        : throttle.tryStart(id, order.model(), rate, maxConcurrent, now));
        if (starts) {
            staging.markStarted(id);
            send(now, a);
        }
    }

    /**
     * Returns the factor for the limits on loads. Loads that start before the first request do not compete with requests, so at
     * the first start the factor grows with time. The store shares its bandwidth among loads, and earlier ones still end first.
     */
    private int loadLimitFactor(long now) {
        long age = now - startedAt - BOOST_START_MILLIS;
        if (!timing.firstStart() || age < 0 || age > BOOST_DURATION_MILLIS) {
            return 1;
        }
        return 2 + (int) (age / BOOST_STEP_MILLIS);
    }

    private void sendIfDue(long now, GroupAction a) {
        boolean join = a.order() instanceof TargetOrder.Join;
        boolean allowed = !join || a.target().isVerified();
        if (allowed && orderTracker.isDue(a, now)) {
            send(now, a);
        }
    }

    private void send(long now, GroupAction a) {
        InstanceId id = a.target().id();
        OrderTracker.TrackedOrder order = orderTracker.recordSent(a, now + UNANSWERED_RETRY_MILLIS);
        TargetOrder sent = a.order();
        if (a.order() instanceof TargetOrder.Join join) {
            sent = join.ifRevision(verifier.revision(id));
            logBasis(now, a.target().record());
        }
        verifier.recordSent(id);
        sendOrder(a, sent, order);
    }

    private void sendOrder(GroupAction a, TargetOrder sent, OrderTracker.TrackedOrder tracked) {
        InstanceId id = a.target().id();
        long token = term;
        gateway.sendOrder(a.target().record(), sent, token, ORDER_TIMEOUT).subscribe(outcome -> {
            LOG.infof("groups: order %s to %s in term %d: %s (%s)", sent, id, token, outcome, a.reason());
            eventLoop.offer(() -> {
                if (token == term) {
                    applyToMembership(id, sent, outcome);
                }
                handleOutcome(id, tracked, outcome);
            });
        });
    }

    private void applyToMembership(InstanceId id, TargetOrder sent, OrderOutcome outcome) {
        if (!verifier.recordOutcome(id, sent, outcome)) {
            plans.values().forEach(p -> p.abandonFormation(id));
        }
    }

    /** Logs the announcement by which an engine is free to join another group. */
    private void logBasis(long now, TargetRecord announced) {
        AnnouncedTarget known = inputs.directory().findAnnounced(announced.instance());
        LOG.infof(
                "groups: %s joins by announcement %d, received %d ms ago, of group %s",
                announced.instance(),
                announced.sequence(),
                known == null ? -1 : now - known.heardAt(),
                announced.group());
    }

    private void handleOutcome(InstanceId id, OrderTracker.TrackedOrder order, OrderOutcome outcome) {
        boolean load = order.isLoad();
        boolean loadInProgress = load && outcome == OrderOutcome.CONFLICT;
        if (outcome == OrderOutcome.TAKEN || loadInProgress) {
            order.scheduleRetry(ticker.millis() + (load ? LOAD_RETRY_MILLIS : ACCEPTED_RETRY_MILLIS));
            confirmLeadership();
            return;
        }
        if (load) {
            // the load may not be running, so it frees its slot; its start still counts towards the store's rate
            throttle.release(id);
        }
        if (outcome == OrderOutcome.UNKNOWN) {
            probeUnanswering(id);
        }
    }

    /** Probes a head that did not report its membership, since the members of its group wait for it. */
    private void probeHead(TargetRecord engine) {
        if (engine.group() != null && engine.group().rank() == 0) {
            probeUnanswering(engine.instance());
        }
    }

    /** Probes an engine that did not answer; it is considered dead if others answer. */
    private void probeUnanswering(InstanceId id) {
        probes.probe(id.value(), List.of(id)).subscribe();
    }

    private Mono<HeadCheckResult> probe(StalledHead report) {
        if (!voter.holdsLease()) {
            return Mono.just(finding(report.group(), GroupLiveness.UNKNOWN));
        }
        for (GroupPlan plan : plans.values()) {
            List<InstanceId> members = plan.members(report.group());
            if (!members.isEmpty()) {
                return probe(report.group(), members);
            }
        }
        return Mono.just(finding(report.group(), GroupLiveness.UNKNOWN));
    }

    private Mono<HeadCheckResult> probe(String group, List<InstanceId> members) {
        long now = ticker.millis();
        List<InstanceId> probed = new ArrayList<>(members);
        probed.removeIf(id -> suspects.isReachedByEntries(id, now));
        Mono<GroupLiveness> found = probed.isEmpty() ? Mono.just(GroupLiveness.WORKING) : probes.probe(group, probed);
        return found.flatMap(liveness -> runOnEventLoop(group, () -> Mono.just(toFinding(group, members, liveness))));
    }

    /** Returns members that did not answer recently as suspects, which the entry probes. */
    private HeadCheckResult toFinding(String group, List<InstanceId> members, GroupLiveness liveness) {
        List<InstanceId> suspected = suspects.suspectsAmong(members, ticker.millis());
        boolean hasSuspects = liveness != GroupLiveness.UNKNOWN && !suspected.isEmpty();
        return hasSuspects ? new HeadCheckResult(group, GroupLiveness.SUSPECTED, suspected) : finding(group, liveness);
    }

    private void markUnresponsive(InstanceId id) {
        eventLoop.offer(() -> {
            suspects.suspect(id, ticker.millis());
            boolean serves = plans.values().stream().anyMatch(p -> p.isInServingGroup(id));
            if (!serves) {
                unresponsiveAt.put(id, ticker.millis());
                confirmLeadership();
            }
        });
    }
}
