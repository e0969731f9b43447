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

import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.duty.EventLoopState;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogMessage;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogStoreException;
import org.hallwall.log.LogTiming;
import org.hallwall.log.LogVoter;
import org.hallwall.log.LogVoterConfig;
import org.hallwall.log.ReplicaState;
import org.hallwall.program.AdminServer;
import org.hallwall.program.Daemon;
import org.hallwall.program.ExitCode;
import org.hallwall.program.HttpServerBinder;
import org.hallwall.program.ProgramException;
import org.hallwall.resource.ResourceMessage;
import org.hallwall.resource.ResourceMessage.Command;
import org.hallwall.resource.ResourceMessage.DomainReport;
import org.hallwall.resource.ResourceMessage.EntryReport;
import org.hallwall.resource.ResourceMessage.FormDomain;
import org.hallwall.resource.ResourceMessage.FormedDomain;
import org.hallwall.resource.ResourceMessage.ReadIndex;
import org.hallwall.resource.ResourceMessage.Watch;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerLink;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;
import org.hallwall.wire.PeerServer;
import org.hallwall.wire.PeerTraffic;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** A running voter: its replicated log, the resource API and the peer and admin servers. */
final class ControlDaemon implements Daemon {

    private static final Logger LOG = Logger.getLogger(ControlDaemon.class);
    private static final long MAX_WATCH_WAIT_MILLIS = 5_000;

    private final ControlSettings settings;
    private final Map<InstanceId, PeerLink> links = new LinkedHashMap<>();
    private final DeclarationStateMachine machine = new DeclarationStateMachine();
    private final ReportRegistry reports = new ReportRegistry(Ticker.SYSTEM);
    private final LogStore store;
    private final LogVoter voter;
    private final CommandRouter router;
    private final ChangeFeed feed;
    private final ShareReconciler shareReconciler;
    private final PeerServer peers;
    private DisposableServer api;
    private AdminServer admin;

    private ControlDaemon(ControlSettings settings, LogStore store) {
        this.settings = settings;
        this.store = store;
        PeerCodec codec = new PeerCodec(messageKinds());
        for (ControlSettings.Voter v : settings.voters()) {
            if (!v.instance().equals(settings.instance())) {
                links.put(v.instance(), new PeerLink(v.peer(), settings.fleet(), settings.instance(), codec));
            }
        }
        voter = new LogVoter(
                new LogVoterConfig(settings.instance(), settings.voterNames(), LogTiming.DEFAULT),
                store,
                machine,
                (to, message) -> links.get(to).send(message),
                Ticker.SYSTEM,
                new SecureRandom(),
                () -> Runtime.getRuntime().halt(ExitCode.FAILURE.code()));
        router = new CommandRouter(settings.instance(), voter, machine, links);
        feed = new ChangeFeed(machine);
        shareReconciler =
                new ShareReconciler(voter, machine, reports, router, settings.darkAfterMillis(), Ticker.SYSTEM);
        peers = new PeerServer(settings.fleet(), codec, this::handle);
    }

    static ControlDaemon start(ControlSettings settings) throws ProgramException {
        if (settings.listenAddress() == null) {
            throw new ProgramException(ExitCode.FAILURE, settings.instance() + " is not listed in voters");
        }
        requireOperatorKeys(settings);
        try {
            ControlDaemon daemon = new ControlDaemon(settings, LogStore.open(settings.dataFolder()));
            daemon.open();
            return daemon;
        } catch (IOException e) {
            throw new ProgramException(ExitCode.FAILURE, e.getMessage(), e);
        }
    }

    private void open() throws ProgramException, IOException {
        peers.open(settings.listenAddress());
        voter.start();
        shareReconciler.start();
        ControlApi routes = new ControlApi(
                machine, router, feed, reports, new OperatorAuthenticator(settings.operatorKeySha256()), this::status);
        HttpServer http = HttpServer.create()
                .host(settings.api().host())
                .port(settings.api().port())
                .route(routes::addRoutes);
        api = HttpServerBinder.bind(http, settings.api());
        admin = AdminServer.open(settings.admin(), metrics(), this::isReady, this::dump);
        LOG.infof("control: %s started, resource API on port %d", settings.instance(), api.port());
    }

    @Override
    public void close() {
        LOG.infof("control: %s is stopping", settings.instance());
        api.disposeNow();
        shareReconciler.close();
        voter.close();
        peers.close();
        links.values().forEach(PeerLink::close);
        admin.close();
        try {
            store.close();
        } catch (LogStoreException e) {
            LOG.warnf("control: failed to close the log store: %s", e.getMessage());
        }
    }

    private static void requireOperatorKeys(ControlSettings settings) throws ProgramException {
        try {
            boolean loopback = InetAddress.getByName(settings.api().host()).isLoopbackAddress();
            if (settings.operatorKeySha256().isEmpty() && !loopback) {
                throw new ProgramException(
                        ExitCode.FAILURE,
                        "operatorKeySha256 must not be empty unless the API listens on a loopback address");
            }
        } catch (UnknownHostException e) {
            throw new ProgramException(ExitCode.FAILURE, "the host of api is not a valid IP address", e);
        }
    }

    private static PeerMessageTypes messageKinds() {
        PeerMessageTypes messageTypes = new PeerMessageTypes();
        LogMessage.register(messageTypes);
        ResourceMessage.register(messageTypes);
        return messageTypes;
    }

    private Mono<? extends PeerMessage> handle(InstanceId from, PeerMessage message) {
        if (message instanceof LogMessage m) {
            if (m.from().equals(from)) {
                voter.receive(m);
            }
            return Mono.empty();
        }
        if (message instanceof Watch m) {
            return feed.awaitChanges(m.after(), Duration.ofMillis(Math.min(m.waitMillis(), MAX_WATCH_WAIT_MILLIS)));
        }
        if (message instanceof Command m) {
            return links.containsKey(from) ? router.handleCommand(m) : Mono.empty();
        }
        if (message instanceof FormDomain m) {
            return formDomain(m);
        }
        if (message instanceof ReadIndex) {
            return router.handleReadIndex();
        }
        if (message instanceof EntryReport m) {
            reports.update(m);
        } else if (message instanceof DomainReport m) {
            reports.update(m);
        }
        return Mono.empty();
    }

    private Mono<FormedDomain> formDomain(FormDomain m) {
        DeclarationCommand command = new DeclarationCommand(
                DeclarationCommand.Type.FORM_DOMAIN,
                null,
                m.domain().value(),
                String.join(",", m.boots()),
                0,
                null,
                null);
        return router.submit(command)
                .map(o -> new FormedDomain(
                        o.formed() == null ? List.of() : List.of(o.formed().split(","))))
                .onErrorResume(e -> Mono.just(new FormedDomain(List.of())));
    }

    private boolean isReady() {
        return voter.state().leader() != null;
    }

    private PrometheusRegistry metrics() {
        PrometheusRegistry registry = new PrometheusRegistry();
        gauge(
                registry,
                "hallwall_log_term",
                "Term of the replicated log",
                () -> voter.state().term());
        gauge(
                registry,
                "hallwall_log_commit_index",
                "Last committed index",
                () -> voter.state().commit());
        gauge(registry, "hallwall_log_leader", "One if this voter leads", () -> voter.holdsLease() ? 1 : 0);
        gauge(registry, "hallwall_log_syncs", "Disk syncs since the start", store::syncCount);
        gauge(
                registry,
                "hallwall_peer_messages",
                "Peer messages received",
                () -> peers.traffic().messages());
        gauge(
                registry,
                "hallwall_peer_bytes",
                "Peer bytes received",
                () -> peers.traffic().bytes());
        return registry;
    }

    private static void gauge(PrometheusRegistry registry, String name, String help, LongSupplier v) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(v.getAsLong()))
                .register(registry);
    }

    private Object status() {
        return new Status(settings.instance(), voter.state(), machine.applied(), reports.entries(), reports.domains());
    }

    private Object dump() {
        Map<String, PeerTraffic> sent = new LinkedHashMap<>();
        links.forEach((k, v) -> sent.put(k.value(), v.traffic()));
        long bytes = -1;
        try {
            bytes = store.entriesBytes();
        } catch (LogStoreException e) {
            LOG.warnf("control: failed to read the size of the log: %s", e.getMessage());
        }
        return new Dump(
                status(), voter.eventLoopState(), peers.traffic(), sent, bytes, store.syncCount(), machine.list(null));
    }

    /** The content of {@code hallwall status}. */
    record Status(InstanceId voter, ReplicaState log, long applied, Object entries, Object domains) {}

    /** The content of a voter's diagnostic dump. */
    record Dump(
            Object status,
            EventLoopState logRing,
            PeerTraffic received,
            Map<String, PeerTraffic> sent,
            long logBytes,
            long syncs,
            Object resources) {}
}
