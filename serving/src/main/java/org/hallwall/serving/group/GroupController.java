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

import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogVoter;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.config.TargetService;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.FeedMessage.HeadFinding;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.FeedMessage.SuspectFinding;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.TargetDirectory.KnownTarget;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Controls the groups while this voter leads. The leader's term is the fencing token; a lease check goes before each round of
 * orders.
 */
public final class GroupController implements Closeable {

    private static final Logger LOG = Logger.getLogger(GroupController.class);
    private static final int RING = 512;
    private static final long TICK_MILLIS = 50;
    /** How long a new leader gathers what the other control instances have heard, in milliseconds: two polls. */
    private static final long SETTLE_MILLIS = 800;
    /** An order without an answer is given again after this, in milliseconds. */
    private static final long RESEND_MILLIS = 350;
    /** An order that was taken is given again if nothing is seen of it after this, in milliseconds. */
    private static final long TAKEN_MILLIS = 2_500;
    /** A load that was taken is given again if nothing is seen of it after this, in milliseconds. */
    private static final long LOAD_TAKEN_MILLIS = 45_000;

    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(300);
    /** An engine that was silent for this many heartbeats gets no new work. */
    private static final double SILENT_HEARTBEATS = 2.5;
    /** An engine that was silent for this long is held for dead, in milliseconds; a cut one may still serve before. */
    private static final long LOST_MILLIS = 20_000;

    /** From this age of the process on, more loads than run at full speed are begun at the first start, in milliseconds. */
    private static final long QUICK_MILLIS = 4_000;
    /** After this time another full-speed number of loads is added, in milliseconds. */
    private static final long QUICK_STEP_MILLIS = 1_000;
    /** How long that goes on, in milliseconds: requests come 15 s after the instances start. */
    private static final long QUICK_END_MILLIS = 6_500;

    /** The time between two lines on the state of the groups, in milliseconds. */
    private static final long REPORT_MILLIS = 2_000;

    private final LogVoter voter;
    private final ControllerView view;
    private final TargetGateway gateway;
    private final Consumer<Set<InstanceId>> lostListener;
    private final ControllerTiming timing;
    private final Mechanisms mechanisms;
    private final Ticker ticker;
    private final DutyThread duty;
    private final Map<String, GroupPlan> plans = new HashMap<>();
    private final Map<String, StagingPlan> stagings = new HashMap<>();
    private final GivenOrders given = new GivenOrders();
    private final Map<InstanceId, Long> unanswered = new HashMap<>();
    private final Suspects suspects = new Suspects();
    private final GroupProbes probes;
    private final LoadPacer pacer = new LoadPacer();
    private final long startedAt;
    private long term = -1;
    private long leadsSince;
    private long reportedAt;
    private boolean checking;

    /**
     * Creates a controller; {@link #start()} starts it.
     *
     * @param voter tells whether this instance leads
     * @param view what it looks at
     * @param gateway speaks to targets
     * @param lostListener told which targets are held for dead
     * @param timing the limits
     * @param mechanisms those in use
     * @param ticker the clock
     */
    public GroupController(
            LogVoter voter,
            ControllerView view,
            TargetGateway gateway,
            Consumer<Set<InstanceId>> lostListener,
            ControllerTiming timing,
            Mechanisms mechanisms,
            Ticker ticker) {
        this.voter = voter;
        this.view = view;
        this.gateway = gateway;
        this.lostListener = lostListener;
        this.timing = timing;
        this.mechanisms = mechanisms;
        this.ticker = ticker;
        this.probes = new GroupProbes(gateway, view.directory(), this::noAnswer, ticker);
        this.startedAt = ticker.millis();
        this.duty = new DutyThread("groups", RING, TICK_MILLIS, this::tick);
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /** Takes the next step soon, because something has changed. */
    public void nudge() {
        duty.offer(this::tick);
    }

    /**
     * Finds out whether a head whose streams stand still has lost a member.
     *
     * @param report the report
     * @return what was found; never an error
     */
    public Mono<HeadFinding> stalled(StalledHead report) {
        return onDuty(report.group(), () -> probe(report));
    }

    /**
     * Takes an entry's word on members that did not answer the controller.
     *
     * @param finding what the entry found
     * @return whether the group has lost a member; never an error
     */
    public Mono<HeadFinding> confirm(SuspectFinding finding) {
        return onDuty(finding.group(), () -> {
            long now = ticker.millis();
            finding.reached().forEach(id -> suspects.reached(id, now));
            for (InstanceId id : finding.silent()) {
                LOG.warnf(
                        "groups: an entry does not reach %s of group %s either, it is held for dead",
                        id, finding.group());
                suspects.lost(id);
                unanswered.put(id, now);
            }
            tick();
            boolean works = finding.silent().isEmpty();
            return Mono.just(finding(finding.group(), works ? GroupLiveness.WORKING : GroupLiveness.LOST));
        });
    }

    private Mono<HeadFinding> onDuty(String group, Supplier<Mono<HeadFinding>> work) {
        return Mono.create(sink -> {
            if (!duty.offer(() -> work.get().subscribe(sink::success))) {
                LOG.warnf("groups: too busy to judge %s", group);
                sink.success(finding(group, GroupLiveness.UNKNOWN));
            }
        });
    }

    private static HeadFinding finding(String group, GroupLiveness liveness) {
        return new HeadFinding(group, liveness, List.of());
    }

    @Override
    public void close() {
        duty.close();
    }

    private void tick() {
        if (!voter.holdsLease()) {
            lostListener.accept(Set.of());
            return;
        }
        if (checking) {
            return;
        }
        checking = true;
        voter.readIndex()
                .whenComplete((index, e) -> duty.offer(() -> {
                    checking = false;
                    if (e == null) {
                        lead();
                    }
                }));
    }

    private void lead() {
        long now = ticker.millis();
        long current = voter.state().term();
        if (current != term) {
            LOG.infof("groups: controls the groups in term %d", current);
            term = current;
            leadsSince = now;
            plans.clear();
            stagings.clear();
            given.clear();
            if (!timing.firstStart() || now - startedAt > QUICK_MILLIS + QUICK_END_MILLIS) {
                pacer.takeOver(now);
            }
        }
        boolean settled = timing.firstStart() || now - leadsSince >= SETTLE_MILLIS;
        if (!settled || now - startedAt < timing.hearAllMillis()) {
            return;
        }
        List<KnownTarget> all = new ArrayList<>(view.directory().list());
        markLost(now, all);
        for (TargetService s : view.configuration().get().engineServices().values()) {
            stepService(now, s, all);
        }
    }

    private void stepService(long now, TargetService service, List<KnownTarget> all) {
        Map<InstanceId, Engine> engines = new HashMap<>();
        for (KnownTarget t : all) {
            if (t.record().service().equals(service.name())) {
                engines.put(t.record().instance(), view(now, t));
            }
        }
        EngineSpec spec = service.engine();
        GroupPlan plan = plans.computeIfAbsent(service.name(), n -> new GroupPlan(term, mechanisms));
        StagingPlan staging = stagings.computeIfAbsent(service.name(), n -> new StagingPlan(mechanisms));
        for (GroupAction a : plan.step(now, spec, view.streams().get(), engines)) {
            give(now, a);
        }
        for (StageOrder o : staging.step(now, spec, plan.packing(), plan.free(engines), engines)) {
            load(now, spec, staging, o);
        }
        report(now, service.name(), plan, engines);
        given.forget(id -> view.directory().find(id) == null);
        endLoads(engines);
    }

    /** One line now and then on what serves and what stands idle. */
    private void report(long now, String service, GroupPlan plan, Map<InstanceId, Engine> engines) {
        if (now - reportedAt < REPORT_MILLIS) {
            return;
        }
        reportedAt = now;
        Map<String, Integer> idle = new TreeMap<>();
        plan.free(engines).forEach((domain, free) -> idle.put(domain, free.size()));
        long lost = engines.values().stream().filter(Engine::lost).count();
        LOG.infof(
                "groups: %s: %s serve, idle by fabric domain %s, %d of %d engines lost, %d loads run",
                service,
                plan.open(engines),
                idle,
                lost,
                engines.size(),
                pacer.loading().size());
    }

    private void markLost(long now, List<KnownTarget> all) {
        Set<InstanceId> lost = new HashSet<>();
        for (KnownTarget t : all) {
            if (isLost(now, t)) {
                lost.add(t.record().instance());
            }
        }
        lostListener.accept(lost);
    }

    private boolean isLost(long now, KnownTarget t) {
        Long failedAt = unanswered.get(t.record().instance());
        boolean replaced = t.record().presence() == TargetRecord.Presence.REPLACED;
        boolean failed = failedAt != null && failedAt > t.heardAt();
        return replaced || failed || now - t.heardAt() > LOST_MILLIS;
    }

    private Engine view(long now, KnownTarget t) {
        long silence = now - t.heardAt();
        boolean lost = isLost(now, t);
        boolean silent = silence > timing.heartbeatMillis() * SILENT_HEARTBEATS;
        TargetRecord r = t.record();
        return new Engine(r, t.lastModel(), lost, silent);
    }

    /** A load has ended when the target announces the model, or is lost. */
    private void endLoads(Map<InstanceId, Engine> engines) {
        pacer.loading().forEach((id, model) -> {
            Engine e = engines.get(id);
            if (e != null && (!e.isUsable() || e.hasStaged(model))) {
                pacer.ended(id);
            }
        });
    }

    /** Loads for spares leave room for those that a group waits for. */
    private void load(long now, EngineSpec spec, StagingPlan staging, StageOrder order) {
        GroupAction a = order.action();
        int more = speedUp(now);
        int atOnce = spec.loadsAtOnce() * more;
        double rate = spec.loadsPerSecond() * more;
        InstanceId id = order.target().id();
        boolean spare = order.isSpare() && more == 1;
        boolean begins = given.isDue(a, now)
                && (spare
                        ? pacer.tryBeginSpare(id, order.model(), rate, atOnce, now)
                        : pacer.tryBegin(id, order.model(), rate, atOnce, now));
        if (begins) {
            staging.begun(id);
            send(now, a);
        }
    }

    /**
     * Loads that begin before the first request are quick, however long they last. So at the very first start the number that
     * runs at once grows with time; the store shares its rate among them, and those begun first still end first.
     */
    private int speedUp(long now) {
        long age = now - startedAt - QUICK_MILLIS;
        if (!timing.firstStart() || age < 0 || age > QUICK_END_MILLIS) {
            return 1;
        }
        return 2 + (int) (age / QUICK_STEP_MILLIS);
    }

    private void give(long now, GroupAction a) {
        if (given.isDue(a, now)) {
            send(now, a);
        }
    }

    private void send(long now, GroupAction a) {
        InstanceId id = a.target().id();
        GivenOrders.GivenOrder order = given.give(a, now + RESEND_MILLIS);
        long token = term;
        gateway.order(a.target().record(), a.order(), token, ORDER_TIMEOUT).subscribe(outcome -> {
            LOG.infof("groups: order %s to %s in term %d: %s (%s)", a.order(), id, token, outcome, a.reason());
            duty.offer(() -> answered(id, order, outcome));
        });
    }

    private void answered(InstanceId id, GivenOrders.GivenOrder order, OrderOutcome outcome) {
        boolean load = order.isLoad();
        boolean loads = load && outcome == OrderOutcome.CONFLICT;
        if (outcome == OrderOutcome.TAKEN || loads) {
            order.again(ticker.millis() + (load ? LOAD_TAKEN_MILLIS : TAKEN_MILLIS));
            tick();
            return;
        }
        if (load) {
            // it may not run, so it must not keep the place of another; its begin still counts towards the store's rate
            pacer.ended(id);
        }
        if (outcome == OrderOutcome.UNKNOWN) {
            probes.ask(id.value(), List.of(id)).subscribe();
        }
    }

    private Mono<HeadFinding> probe(StalledHead report) {
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

    private Mono<HeadFinding> probe(String group, List<InstanceId> members) {
        long now = ticker.millis();
        List<InstanceId> asked = new ArrayList<>(members);
        asked.removeIf(id -> suspects.isReachedByEntries(id, now));
        Mono<GroupLiveness> found = asked.isEmpty() ? Mono.just(GroupLiveness.WORKING) : probes.ask(group, asked);
        return found.flatMap(liveness -> onDuty(group, () -> Mono.just(judge(group, members, liveness))));
    }

    /** Members that did not answer here, now or lately, are for the entry to ask. */
    private HeadFinding judge(String group, List<InstanceId> members, GroupLiveness liveness) {
        List<InstanceId> doubtful = suspects.among(members, ticker.millis());
        boolean suspected = liveness != GroupLiveness.UNKNOWN && !doubtful.isEmpty();
        return suspected ? new HeadFinding(group, GroupLiveness.SUSPECTED, doubtful) : finding(group, liveness);
    }

    private void noAnswer(InstanceId id) {
        duty.offer(() -> {
            suspects.doubt(id, ticker.millis());
            boolean serves = plans.values().stream().anyMatch(p -> p.serves(id));
            if (!serves) {
                unanswered.put(id, ticker.millis());
                tick();
            }
        });
    }
}
