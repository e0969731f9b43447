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
import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.domain.AnnouncedTarget;
import org.hallwall.domain.DomainController;
import org.hallwall.domain.DomainControllerConfig;
import org.hallwall.domain.DomainMessage;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.LeaseMessage;
import org.hallwall.domain.TargetDirectory;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.GroupMembership;
import org.hallwall.entry.claim.ClaimCoordinator;
import org.hallwall.entry.claim.ClaimMessage;
import org.hallwall.entry.claim.ClaimStore;
import org.hallwall.entry.claim.ClaimSync;
import org.hallwall.entry.claim.IdempotentRunner;
import org.hallwall.entry.forward.RemoteRunClient;
import org.hallwall.entry.forward.RemoteRunServer;
import org.hallwall.entry.forward.RequestForwarder;
import org.hallwall.entry.limit.RetryBudget;
import org.hallwall.entry.limit.WorkspaceLimits;
import org.hallwall.entry.peer.AnnouncementRelay;
import org.hallwall.entry.peer.AnnouncementServer;
import org.hallwall.entry.peer.DeclarationFollower;
import org.hallwall.entry.peer.EntryPeers;
import org.hallwall.entry.relay.CrossDomainRunner;
import org.hallwall.entry.relay.RelayMetrics;
import org.hallwall.entry.relay.RequestRunner;
import org.hallwall.entry.relay.ServiceRunner;
import org.hallwall.entry.request.AuthenticationFilter;
import org.hallwall.entry.request.BodyReader;
import org.hallwall.entry.request.CallerServer;
import org.hallwall.entry.request.ChatAnswerCodec;
import org.hallwall.entry.request.ChatHandler;
import org.hallwall.entry.request.CreateKeyHandler;
import org.hallwall.entry.request.IdempotencyKeyHandler;
import org.hallwall.entry.request.InFlightRequests;
import org.hallwall.entry.request.ModelRouteFilter;
import org.hallwall.entry.request.ModelsHandler;
import org.hallwall.entry.request.ServiceAnswerCodec;
import org.hallwall.entry.request.ServiceHandler;
import org.hallwall.entry.routing.Dispatcher;
import org.hallwall.entry.routing.GroupRoutingState;
import org.hallwall.entry.routing.RoutingTable;
import org.hallwall.program.AdminServer;
import org.hallwall.program.Daemon;
import org.hallwall.program.ExitCode;
import org.hallwall.program.InterimResponses;
import org.hallwall.program.ProgramException;
import org.hallwall.program.ResponseCorrelation;
import org.hallwall.resource.DeclarationCache;
import org.hallwall.resource.Declarations;
import org.hallwall.resource.ResourceMessage;
import org.hallwall.resource.ResourceMessage.EntryReport;
import org.hallwall.resource.ResourceMessage.Watch;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;
import org.hallwall.wire.PeerServer;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

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
    private final RelayMetrics metrics = new RelayMetrics(registry);
    private final DeclarationCache declarations = new DeclarationCache();
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final RoutingTable table = new RoutingTable(directory, timing);
    private final InFlightRequests inFlight = new InFlightRequests();
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
    private final EventLoopThread housekeeping;
    private AdminServer admin;
    private volatile boolean leavingBalancer;
    private long reportedAt;
    private long reportedVersion;

    private EntryDaemon(EntrySettings settings) {
        this.settings = settings;
        bodies = new BodyReader(settings.maxBodyBytes());
        PeerCodec codec = new PeerCodec(messageTypes());
        peers = new EntryPeers(settings, codec, m -> receive(settings.instance(), m));
        peerServer = new PeerServer(settings.fleet(), codec, this::handle);
        int first =
                Math.floorMod(settings.instance().hashCode(), settings.voters().size());
        follower = new DeclarationFollower(declarations, peers.voterLinks(), peers.entryLinks(), first, ticker);
        relay = new AnnouncementRelay(directory, peers, ticker);
        EngineClient engines = new EngineClient(ResponseCorrelation.withoutIds()
                .enable(InterimResponses.skip(HttpClient.create(EngineClient.createPool()))));
        controller = new DomainController(
                new DomainControllerConfig(settings.instance(), settings.failureDomain(), timing, settings.maxLoads()),
                directory,
                declarations::current,
                peers,
                engines,
                ticker,
                new SecureRandom());
        dispatcher =
                new Dispatcher(table, timing, settings.routingPolicy(), new Random(), ticker, settings.maxQueued());
        claimSync = new ClaimSync(claims, peers, boots -> peers.formDomain(settings.failureDomain(), boots), ticker);
        RequestRunner local = new RequestRunner(dispatcher, engines, budget, metrics, CrossDomainRunner.NONE);
        announcements = new AnnouncementServer(
                settings.failureDomain(), relay, new RemoteRunServer(bodies, declarations::current, local));
        callers = callerServer(engines);
        housekeeping = new EventLoopThread("housekeeping", RING, HOUSEKEEPING_MILLIS, this::housekeep);
    }

    private CallerServer callerServer(EngineClient engines) {
        Supplier<Declarations> current = declarations::current;
        WorkspaceLimits limits = new WorkspaceLimits(ticker, peers::liveEntryCount);
        AuthenticationFilter authentication = new AuthenticationFilter(current);
        ClaimCoordinator coordinator = new ClaimCoordinator(settings.instance(), claims, peers, ticker);
        RequestForwarder forwarder = new RequestForwarder();
        RemoteRunClient remoteRuns = new RemoteRunClient(settings.otherDomains());
        ChatHandler chat = new ChatHandler(
                bodies,
                List.of(authentication, new ModelRouteFilter(current), limits),
                new RequestRunner(dispatcher, engines, budget, metrics, remoteRuns),
                new IdempotencyKeyHandler<>(
                        settings,
                        new IdempotentRunner<>(settings.instance(), coordinator, new ChatAnswerCodec()),
                        forwarder),
                limits,
                metrics);
        ServiceHandler services = new ServiceHandler(
                bodies,
                authentication,
                limits,
                current,
                new ServiceRunner(directory, timing, budget, metrics, ticker),
                new IdempotencyKeyHandler<>(
                        settings,
                        new IdempotentRunner<>(settings.instance(), coordinator, new ServiceAnswerCodec()),
                        forwarder),
                metrics);
        return new CallerServer(
                chat,
                new ModelsHandler(authentication, metrics),
                services,
                new CreateKeyHandler(settings.failureDomain()),
                inFlight,
                metrics);
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
        inFlight.beginShutdown();
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

    private static PeerMessageTypes messageTypes() {
        PeerMessageTypes messageTypes = new PeerMessageTypes();
        ResourceMessage.register(messageTypes);
        DomainMessage.register(messageTypes);
        ClaimMessage.register(messageTypes);
        return messageTypes;
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
        if (message instanceof ClaimMessage.GrantRequest m) {
            return Mono.just(claims.requestGrant(m));
        }
        if (message instanceof ClaimMessage.CompletionRequest m) {
            return Mono.just(new ClaimMessage.CompletionReply(claims.complete(m)));
        }
        if (message instanceof ClaimMessage.SyncRequest m) {
            return Mono.just(claims.page(m.afterKey(), claimSync.bootId()));
        }
        return Mono.empty();
    }

    private void receive(InstanceId from, PeerMessage message) {
        if (message instanceof LeaseMessage m) {
            controller.receive(m);
        } else if (message instanceof DomainMessage.RelayedAnnouncements m) {
            relay.receive(m);
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
                    new EntryReport(settings.instance(), settings.failureDomain(), version, follower.isStale()));
        }
    }

    /** An entry that has any declarations and has heard of all targets serves, even if no voter can be reached. */
    private boolean isReady() {
        boolean heardAll = ticker.millis() - directory.receivingSince() >= timing.fullDiscoveryTime();
        return !leavingBalancer && heardAll && declarations.current().version() > 0;
    }

    private void addGauges() {
        gauge("hallwall_requests_in_flight", "Requests in progress", inFlight::count);
        gauge("hallwall_requests_queued", "Requests that wait for a group", dispatcher::queuedRequests);
        gauge(
                "hallwall_declaration_version",
                "Version in force",
                () -> declarations.current().version());
        gauge("hallwall_declarations_old", "One if no voter answered lately", () -> follower.isStale() ? 1 : 0);
        gauge("hallwall_announcements_taken", "Announcements taken", directory::acceptedCount);
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
                follower.isStale(),
                peers.liveEntryCount(),
                inFlight.count(),
                dispatcher.queuedRequests(),
                dispatcher.assignmentsMade(),
                budget.granted(),
                budget.refused(),
                directory.acceptedCount(),
                directory.staleCount(),
                claims.size(),
                claims.hasCompleteHistory(),
                controller.state(),
                List.of(dispatcher.dutyState(), relay.eventLoopState(), housekeeping.state()),
                groups(now),
                targets(now),
                peerServer.traffic(),
                peers.traffic());
    }

    private List<EntryDump.Group> groups(long now) {
        List<EntryDump.Group> out = new ArrayList<>();
        for (GroupRoutingState s : table.all()) {
            out.add(new EntryDump.Group(
                    s.group(),
                    s.view().isComplete(now, timing.announcementTtl()),
                    s.isUsable(now, timing.announcementTtl()),
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
        for (AnnouncedTarget t : directory.list()) {
            GroupMembership m = t.announcement().membership();
            out.add(new EntryDump.Target(
                    t.instance(),
                    now - t.announcedAt(),
                    m == null ? null : m.group(),
                    t.announcement().leaving()));
        }
        return out;
    }
}
