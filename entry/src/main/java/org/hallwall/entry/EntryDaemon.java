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
package org.hallwall.entry;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.domain.DomainController;
import org.hallwall.domain.DomainMessage;
import org.hallwall.domain.DomainSeat;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.KnownTarget;
import org.hallwall.domain.LeaseMessage;
import org.hallwall.domain.TargetDirectory;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.GroupMembership;
import org.hallwall.entry.claim.ClaimCoordinator;
import org.hallwall.entry.claim.ClaimMessage;
import org.hallwall.entry.claim.ClaimStore;
import org.hallwall.entry.claim.ClaimSync;
import org.hallwall.entry.claim.KeyedRuns;
import org.hallwall.entry.forward.CallerForwarder;
import org.hallwall.entry.forward.RemoteRunServer;
import org.hallwall.entry.forward.RemoteRuns;
import org.hallwall.entry.limit.RetryBudget;
import org.hallwall.entry.limit.WorkspaceLimits;
import org.hallwall.entry.peer.AnnouncementRelay;
import org.hallwall.entry.peer.AnnouncementServer;
import org.hallwall.entry.peer.DeclarationFollower;
import org.hallwall.entry.peer.EntryPeers;
import org.hallwall.entry.relay.RelayCounters;
import org.hallwall.entry.relay.RequestRunner;
import org.hallwall.entry.relay.RunElsewhere;
import org.hallwall.entry.relay.ServiceRunner;
import org.hallwall.entry.request.BodyReader;
import org.hallwall.entry.request.CallerServer;
import org.hallwall.entry.request.ChatAnswerForm;
import org.hallwall.entry.request.ChatHandler;
import org.hallwall.entry.request.IdentifyFilter;
import org.hallwall.entry.request.InFlight;
import org.hallwall.entry.request.KeyedHandler;
import org.hallwall.entry.request.KeysHandler;
import org.hallwall.entry.request.ModelsHandler;
import org.hallwall.entry.request.RouteFilter;
import org.hallwall.entry.request.ServiceAnswerForm;
import org.hallwall.entry.request.ServiceHandler;
import org.hallwall.entry.routing.Dispatcher;
import org.hallwall.entry.routing.GroupSlot;
import org.hallwall.entry.routing.GroupTable;
import org.hallwall.program.AdminServer;
import org.hallwall.program.Daemon;
import org.hallwall.program.ExitCode;
import org.hallwall.program.ProgramException;
import org.hallwall.resource.DeclarationCache;
import org.hallwall.resource.Declarations;
import org.hallwall.resource.ResourceMessage;
import org.hallwall.resource.ResourceMessage.EntryReport;
import org.hallwall.resource.ResourceMessage.Watch;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerKinds;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerServer;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** A running entry. */
final class EntryDaemon implements Daemon {

    private static final Logger LOG = Logger.getLogger(EntryDaemon.class);
    private static final int RING = 64;
    private static final long HOUSEKEEPING_MILLIS = 250;
    private static final long REPORT_MILLIS = 5_000;
    private static final long DRAIN_HOLD_MILLIS = 3_000;
    private static final Duration BALANCER_NOTICE = Duration.ofSeconds(2);
    private static final Duration STOP_POLL = Duration.ofMillis(50);

    private final EntrySettings settings;
    private final Ticker ticker = Ticker.SYSTEM;
    private final DomainTiming timing = DomainTiming.DEFAULT;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final RelayCounters counters = new RelayCounters(registry);
    private final DeclarationCache declarations = new DeclarationCache();
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final GroupTable table = new GroupTable(directory, timing);
    private final InFlight inFlight = new InFlight();
    private final RetryBudget budget = new RetryBudget();
    private final ClaimStore claims = new ClaimStore(ticker, System.currentTimeMillis());
    private final BodyReader bodies;
    private final ClaimSync claimSync;
    private final EntryPeers peers;
    private final PeerServer peerServer;
    private final DeclarationFollower follower;
    private final AnnouncementRelay relay;
    private final AnnouncementServer announcements;
    private final DomainController controller;
    private final Dispatcher dispatcher;
    private final CallerServer callers;
    private final DutyThread housekeeping;
    private AdminServer admin;
    private volatile boolean leavingBalancer;
    private long reportedAt;
    private long reportedVersion;

    private EntryDaemon(EntrySettings settings) {
        this.settings = settings;
        bodies = new BodyReader(settings.maxBodyBytes());
        PeerCodec codec = new PeerCodec(kinds());
        peers = new EntryPeers(settings, codec, m -> receive(settings.instance(), m));
        peerServer = new PeerServer(settings.fleet(), codec, this::handle);
        int first =
                Math.floorMod(settings.instance().hashCode(), settings.voters().size());
        follower = new DeclarationFollower(declarations, peers.voterLinks(), peers.entryLinks(), first, ticker);
        relay = new AnnouncementRelay(directory, peers, ticker);
        EngineClient engines = new EngineClient();
        controller = new DomainController(
                new DomainSeat(settings.instance(), settings.failureDomain(), timing, settings.maxLoads()),
                directory,
                declarations::current,
                peers,
                engines,
                ticker,
                new SecureRandom());
        dispatcher =
                new Dispatcher(table, timing, settings.routingPolicy(), new Random(), ticker, settings.maxQueued());
        claimSync = new ClaimSync(claims, peers, boots -> peers.formDomain(settings.failureDomain(), boots), ticker);
        RequestRunner local = new RequestRunner(dispatcher, engines, budget, counters, RunElsewhere.NOWHERE);
        announcements = new AnnouncementServer(
                settings.failureDomain(), relay, new RemoteRunServer(bodies, declarations::current, local));
        callers = callerServer(engines);
        housekeeping = new DutyThread("housekeeping", RING, HOUSEKEEPING_MILLIS, this::housekeep);
    }

    private CallerServer callerServer(EngineClient engines) {
        Supplier<Declarations> current = declarations::current;
        WorkspaceLimits limits = new WorkspaceLimits(ticker, peers::liveEntries);
        IdentifyFilter identify = new IdentifyFilter(current);
        ClaimCoordinator coordinator = new ClaimCoordinator(settings.instance(), claims, peers, ticker);
        CallerForwarder forwarder = new CallerForwarder();
        RemoteRuns elsewhere = new RemoteRuns(settings.otherDomains());
        ChatHandler chat = new ChatHandler(
                bodies,
                List.of(identify, new RouteFilter(current), limits),
                new RequestRunner(dispatcher, engines, budget, counters, elsewhere),
                new KeyedHandler<>(
                        settings, new KeyedRuns<>(settings.instance(), coordinator, new ChatAnswerForm()), forwarder),
                limits,
                counters);
        ServiceHandler services = new ServiceHandler(
                bodies,
                identify,
                limits,
                current,
                new ServiceRunner(directory, timing, budget, counters, ticker),
                new KeyedHandler<>(
                        settings,
                        new KeyedRuns<>(settings.instance(), coordinator, new ServiceAnswerForm()),
                        forwarder),
                counters);
        return new CallerServer(
                chat,
                new ModelsHandler(identify, counters),
                services,
                new KeysHandler(settings.failureDomain()),
                inFlight,
                counters);
    }

    static EntryDaemon start(EntrySettings settings) throws ProgramException {
        EntryDaemon daemon = new EntryDaemon(settings);
        try {
            daemon.open();
        } catch (IOException e) {
            throw new ProgramException(ExitCode.FAILURE, e.getMessage(), e);
        }
        return daemon;
    }

    private void open() throws ProgramException, IOException {
        peerServer.open(settings.peer());
        announcements.open(settings.targets());
        relay.start();
        dispatcher.start();
        controller.start();
        follower.start();
        claimSync.start();
        housekeeping.start();
        callers.open(settings.callers());
        addGauges();
        admin = AdminServer.open(settings.admin(), registry, this::isReady, this::dump);
        LOG.infof("entry: %s takes callers on port %d", settings.instance(), callers.port());
    }

    /** Fails the readiness first, then finishes the requests in progress, then ends. */
    @Override
    public void close() {
        LOG.infof("entry: %s stops, %d requests are in progress", settings.instance(), inFlight.count());
        leavingBalancer = true;
        Mono.delay(BALANCER_NOTICE).block();
        inFlight.stopTaking();
        long until = ticker.millis() + settings.stopMillis();
        while (inFlight.count() > 0 && ticker.millis() < until) {
            Mono.delay(STOP_POLL).block();
        }
        LOG.infof("entry: %s ends, %d requests are cut off", settings.instance(), inFlight.count());
        callers.close();
        announcements.close();
        housekeeping.close();
        follower.close();
        controller.close();
        dispatcher.close();
        relay.close();
        claimSync.close();
        peers.close();
        peerServer.close();
        admin.close();
    }

    private static PeerKinds kinds() {
        PeerKinds kinds = new PeerKinds();
        ResourceMessage.register(kinds);
        DomainMessage.register(kinds);
        ClaimMessage.register(kinds);
        return kinds;
    }

    private Mono<? extends PeerMessage> handle(InstanceId from, PeerMessage message) {
        if (message instanceof Watch m) {
            return Mono.just(declarations.changesAfter(m.after()));
        }
        if (message instanceof ClaimMessage m) {
            return answer(m);
        }
        receive(from, message);
        return Mono.empty();
    }

    private Mono<? extends PeerMessage> answer(ClaimMessage message) {
        if (message instanceof ClaimMessage.Ask m) {
            return Mono.just(claims.ask(m));
        }
        if (message instanceof ClaimMessage.Settle m) {
            return Mono.just(new ClaimMessage.Done(claims.settle(m)));
        }
        if (message instanceof ClaimMessage.Sync m) {
            return Mono.just(claims.page(m.afterKey(), claimSync.boot()));
        }
        return Mono.empty();
    }

    private void receive(InstanceId from, PeerMessage message) {
        if (message instanceof LeaseMessage m) {
            controller.receive(m);
        } else if (message instanceof DomainMessage.Relayed m) {
            relay.take(m);
        } else if (message instanceof DomainMessage.Beacon m) {
            onBeacon(m);
        } else if (message instanceof DomainMessage.DrainReport m) {
            controller.receive(m);
        } else {
            LOG.warnf("entry: %s sent an unexpected message", from);
        }
    }

    private void onBeacon(DomainMessage.Beacon beacon) {
        long now = ticker.millis();
        table.drain(beacon.draining(), now + DRAIN_HOLD_MILLIS);
        if (!beacon.controller().equals(settings.instance())) {
            controller.receive(beacon);
        }
        peers.send(
                beacon.controller(),
                new DomainMessage.DrainReport(settings.instance(), table.outstandingOnDraining(now)));
    }

    private void housekeep() {
        long now = ticker.millis();
        long version = declarations.current().version();
        if (now - reportedAt >= REPORT_MILLIS || version != reportedVersion) {
            reportedAt = now;
            reportedVersion = version;
            peers.sendToVoters(
                    new EntryReport(settings.instance(), settings.failureDomain(), version, follower.mayBeOld()));
        }
    }

    /** An entry that has any declarations and has heard of all targets serves, even if no voter can be reached. */
    private boolean isReady() {
        boolean heardAll = ticker.millis() - directory.listeningSince() >= timing.hearAll();
        return !leavingBalancer && heardAll && declarations.current().version() > 0;
    }

    private void addGauges() {
        gauge("hallwall_requests_in_flight", "Requests in progress", inFlight::count);
        gauge("hallwall_requests_queued", "Requests that wait for a group", dispatcher::queued);
        gauge(
                "hallwall_declaration_version",
                "Version in force",
                () -> declarations.current().version());
        gauge("hallwall_declarations_old", "One if no voter answered lately", () -> follower.mayBeOld() ? 1 : 0);
        gauge("hallwall_announcements_taken", "Announcements taken", directory::taken);
        gauge("hallwall_retries_refused", "Retries that the budget refused", budget::refused);
        gauge(
                "hallwall_peer_messages",
                "Peer messages received",
                () -> peerServer.traffic().messages());
        gauge(
                "hallwall_peer_bytes",
                "Peer bytes received",
                () -> peerServer.traffic().bytes());
    }

    private void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }

    private EntryDump dump() {
        long now = ticker.millis();
        return new EntryDump(
                settings.instance(),
                settings.failureDomain(),
                declarations.current().version(),
                follower.mayBeOld(),
                peers.liveEntries(),
                inFlight.count(),
                dispatcher.queued(),
                dispatcher.dispatched(),
                budget.spent(),
                budget.refused(),
                directory.taken(),
                directory.stale(),
                claims.size(),
                claims.isSure(),
                controller.state(),
                List.of(dispatcher.dutyState(), relay.dutyState(), housekeeping.state()),
                groups(now),
                targets(now),
                peerServer.traffic(),
                peers.traffic());
    }

    private List<EntryDump.Group> groups(long now) {
        List<EntryDump.Group> out = new ArrayList<>();
        for (GroupSlot s : table.all()) {
            out.add(new EntryDump.Group(
                    s.group(),
                    s.view().isComplete(now, timing.announceLease()),
                    s.isUsable(now, timing.announceLease()),
                    s.view().membership().members(),
                    s.outstanding(),
                    s.estimatedLoad(),
                    s.isSlow(),
                    s.firstTokenMillis()));
        }
        return out;
    }

    private List<EntryDump.Target> targets(long now) {
        List<EntryDump.Target> out = new ArrayList<>();
        for (KnownTarget t : directory.list()) {
            GroupMembership m = t.announcement().membership();
            out.add(new EntryDump.Target(
                    t.instance(),
                    now - t.heardAt(),
                    m == null ? null : m.group(),
                    t.announcement().leaving()));
        }
        return out;
    }
}
