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
package org.hallwall.serving.relay;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.program.ProgramException;
import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.config.ConfigurationReader;
import org.hallwall.serving.control.ControlNode;
import org.hallwall.serving.crash.CrashWatch;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.serving.reachability.AddressTranslator;
import org.hallwall.serving.reachability.TargetEndpoint;
import org.hallwall.serving.reachability.TargetLinks;
import org.hallwall.serving.target.FeedFollower;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** Entry process: follows the state published by the control instances and relays client requests to targets. */
public final class EntryNode implements Closeable {

    private static final Logger LOG = Logger.getLogger(EntryNode.class);
    private static final int RING_SIZE = 1_024;
    private static final long TICK_MILLIS = 1_000;
    /** Maximum number of links to control instances; the largest supported number of voters. */
    private static final int MAX_CONTROL_LINKS = 9;
    /**
     * Timeout of a probe that this entry sends to a target; several round trips and the time of the response.
     */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(150);
    /**
     * Interval between checks for terminated targets, and between retries of unacknowledged crash reports, in
     * milliseconds.
     */
    private static final long CRASH_CHECK_INTERVAL_MILLIS = 200;

    private static final DoubleSupplier RANDOM =
            () -> ThreadLocalRandom.current().nextDouble();

    private final EntryNodeSettings settings;
    private final Ticker ticker = Ticker.SYSTEM;
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final EntryState state = new EntryState(directory);
    private final EntryPermits permits = new EntryPermits(ticker, RANDOM);
    private final TargetAvailability availability = new TargetAvailability(ticker, permits);
    private final PeerCodec codec = new PeerCodec(ControlNode.messageTypes());
    private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<InstanceId, FeedFollower> followers = new HashMap<>();
    private final LoopResources loops = LoopResources.create("io", 1, true);
    private final AdmissionControl admission;
    private final LoadExchange loadExchange;
    private final PermitExchange permitExchange;
    private final Balancer balancer;
    private final RetryBudget retryBudget;
    private final CrashWatch crashWatch;
    private final TargetLinks targetLinks;
    private final EntryStatusExchange statusExchange;
    private final EventLoop io;
    private final RelayServer server;
    private final EventLoopThread feedThread;
    private final Map<String, String> bootIds = new HashMap<>();
    private final String process = UUID.randomUUID().toString();
    private final ConfigurationUpdates configurations;
    private final UnreadAttemptCheck unreadCheck;
    private ScheduledFuture<?> crashCheck;
    private ScheduledFuture<?> unreadTimer;
    private volatile TargetGateway gateway;
    private volatile long firstUpdateAt = -1;
    private volatile boolean hasSeenTargets;
    private volatile boolean stopping;

    /**
     * Creates an entry; {@link #start(TargetGateway)} starts it.
     *
     * @param settings the settings
     * @param names the header names
     * @param reader the configuration parser
     * @param addresses translates the addresses of targets
     * @param registry the registry for the metrics
     */
    public EntryNode(
            EntryNodeSettings settings,
            HeaderNames names,
            ConfigurationReader reader,
            AddressTranslator addresses,
            PrometheusRegistry registry) {
        this.settings = settings;
        this.configurations = new ConfigurationUpdates(new EntryConfiguration(state, reader), ticker);
        this.retryBudget =
                new RetryBudget(settings.retryRatio(), settings.retryExtra(), settings.retryWindowMillis(), ticker);
        FleetLoad fleet = new FleetLoad(ticker);
        this.balancer = new Balancer(settings.failureDomain(), fleet, settings.mechanisms(), RANDOM, ticker);
        this.admission = new AdmissionControl(balancer, fleet, settings.mechanisms(), ticker);
        this.io = loops.onServer(LoopResources.DEFAULT_NATIVE).next();
        this.loadExchange = new LoadExchange(io, balancer, fleet, permits, links::values);
        this.permitExchange = new PermitExchange(io, permits, loadExchange::controllers, ticker);
        this.targetLinks = TargetLinks.create(loops, addresses, this::endpoints, io, ticker);
        this.statusExchange =
                new EntryStatusExchange(io, settings, targetLinks, this::isReady, loadExchange::controllers, ticker);
        targetLinks.detector().setListener(statusExchange::report);
        TargetClient client = new TargetClient(loops, names, availability, targetLinks, ticker);
        this.crashWatch = new CrashWatch(
                new CrashExchange(
                        loadExchange::controllers,
                        directory,
                        this::probe,
                        client::refusesConnections,
                        this::reachesNeighbours),
                io,
                ticker);
        Balancer entryBalancer =
                new Balancer(settings.failureDomain(), new FleetLoad(ticker), settings.mechanisms(), RANDOM, ticker);
        this.unreadCheck =
                new UnreadAttemptCheck(List.of(balancer, entryBalancer), targetLinks.connector()::connect, ticker);
        HeadLivenessQuery headQuery =
                new HeadLivenessQuery(loadExchange::controllers, availability, targetLinks.detector(), this::probe);
        RelayContext context = new RelayContext(
                state,
                new CandidateTargets(state, availability, permits, RANDOM),
                balancer,
                client,
                retryBudget,
                new ForwardedHeaders(names),
                names,
                new StalledHeads(headQuery::query, fleet::isControlReachable, ticker),
                admission,
                new StreamMonitor(),
                new RelayMetrics(registry),
                crashWatch,
                new EntryForwarder(
                        targetLinks,
                        statusExchange::availableEntries,
                        entryBalancer,
                        new EntryClient(loops, names, settings.instance(), state, ticker)),
                new Shutdown(ticker),
                ticker);
        this.server = new RelayServer(context, BodyMemory.ofProcess());
        state.addTargetListener(() -> io.execute(() -> balancer.abortUnread(directory::hasEnded)));
        this.feedThread = new EventLoopThread("feeds", RING_SIZE, TICK_MILLIS, () -> {});
    }

    /**
     * Opens the port and connects to the control instances.
     *
     * @param targets sends probes to targets
     * @throws IOException if the port cannot be opened
     */
    public void start(TargetGateway targets) throws IOException {
        gateway = targets;
        try {
            server.open(settings.listen(), loops);
            server.openForwarding(settings.forwarding(), loops);
        } catch (ProgramException e) {
            throw new IOException(e.getMessage(), e);
        }
        feedThread.start();
        loadExchange.start();
        statusExchange.start();
        permits.onDue(permitExchange::trigger);
        crashCheck = io.scheduleAtFixedRate(
                crashWatch::tick, CRASH_CHECK_INTERVAL_MILLIS, CRASH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        unreadTimer = io.scheduleAtFixedRate(
                new GuardedTask("check of unread attempts and leases", this::checkRetries),
                UnreadAttemptCheck.INTERVAL_MILLIS,
                UnreadAttemptCheck.INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        connect(settings.seeds());
        LOG.infof("entry: %s accepts client requests on port %d", settings.instance(), server.port());
    }

    private void checkRetries() {
        unreadCheck.tick();
        retryBudget.tick();
    }

    /**
     * Connects to control instances that have no link yet.
     *
     * @param members the control instances
     */
    public void connect(List<ControlMember> members) {
        feedThread.offer(() -> connectMissing(members));
    }

    /**
     * Returns whether the entry can serve requests: it has a configuration, target state and the list of crash
     * suspects, follows their changes, and is not shutting down.
     *
     * @return true if the entry is ready
     */
    public boolean isReady() {
        return !stopping
                && feedThread.isRunning()
                && state.routes().configuration().version() > 0
                && firstUpdateAt >= 0
                && crashWatch.isReady()
                && hasSeenTargets();
    }

    /** An entry that has seen targets stays ready when they disappear: requests fail with a specific error instead. */
    private boolean hasSeenTargets() {
        hasSeenTargets |= state.targets().size() > 0;
        return hasSeenTargets;
    }

    /**
     * Returns the configuration and targets in use.
     *
     * @return the state
     */
    public EntryState state() {
        return state;
    }

    /**
     * Returns the component that blocks requests that crash targets.
     *
     * @return the crash watch
     */
    public CrashWatch crashWatch() {
        return crashWatch;
    }

    /**
     * Returns the availability of the targets.
     *
     * @return the availability
     */
    public TargetAvailability availability() {
        return availability;
    }

    /**
     * Returns the retry budget.
     *
     * @return the retry budget
     */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /**
     * Returns the abandoned attempts that targets may still read.
     *
     * @return the attempts by target
     */
    public Map<String, UnreadAttempts> unreadAttempts() {
        return balancer.unreadAttempts();
    }

    /**
     * Returns the links to the targets.
     *
     * @return the links
     */
    public TargetLinks targetLinks() {
        return targetLinks;
    }

    /**
     * Returns the permits of this entry for targets with a rate limit.
     *
     * @return the permits
     */
    public EntryPermits permits() {
        return permits;
    }

    /**
     * Returns the relay server.
     *
     * @return the server
     */
    public RelayServer server() {
        return server;
    }

    /** Reports not ready, drains the requests in flight and shuts down. */
    @Override
    public void close() {
        LOG.infof("entry: %s is shutting down, %d requests in flight", settings.instance(), server.inFlight());
        stopping = true;
        server.beginShutdown(settings.drainNoticeMillis(), settings.stopTimeoutMillis());
        io.execute(statusExchange::report);
        server.completeShutdown();
        LOG.infof("entry: %s terminates, %d requests without a response", settings.instance(), server.inFlight());
        followers.values().forEach(FeedFollower::close);
        loadExchange.close();
        statusExchange.close();
        permitExchange.close();
        crashCheck.cancel(false);
        unreadTimer.cancel(false);
        feedThread.close();
        links.values().forEach(PeerLink::close);
        server.close();
    }

    /** Closes links to control instances that are no longer members and are unreachable. */
    private void disconnectUnlisted(List<ControlMember> members) {
        List<InstanceId> listed = members.stream().map(ControlMember::instance).toList();
        for (InstanceId id : List.copyOf(links.keySet())) {
            if (!listed.contains(id) && !followers.get(id).isConnected()) {
                LOG.infof("entry: control instance %s is no longer a member", id);
                followers.remove(id).close();
                links.remove(id).close();
                state.setLostTargets(id.value(), List.of());
            }
        }
    }

    private void connectMissing(List<ControlMember> members) {
        List<ControlMember> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(ControlMember::instance));
        for (ControlMember m : sorted) {
            if (!links.containsKey(m.instance()) && links.size() < MAX_CONTROL_LINKS) {
                PeerLink link = new PeerLink(m.peer(), settings.fleet(), settings.instance(), codec);
                links.put(m.instance(), link);
                FeedFollower follower = new FeedFollower(
                        m.instance().value(),
                        link,
                        false,
                        configurations::known,
                        crashWatch::version,
                        this::usage,
                        onFeedThread(news -> applyUpdate(m.instance().value(), news)));
                followers.put(m.instance(), follower);
                follower.start();
            }
        }
    }

    private FeedMessage.EntryUsage usage() {
        return new FeedMessage.EntryUsage(
                admission.streamDemand(), process, retryBudget.openRetries(), retryBudget.reportLeases());
    }

    /** Hands updates to the feed thread; throws if its queue is full, so that the follower requests them again. */
    private Consumer<FeedMessage.Changes> onFeedThread(Consumer<FeedMessage.Changes> consumer) {
        return news -> {
            configurations.markReceived(news);
            if (!feedThread.offer(() -> consumer.accept(news))) {
                configurations.forget();
                throw new IllegalStateException("the queue of the feed thread is full");
            }
        };
    }

    private void applyUpdate(String control, FeedMessage.Changes news) {
        news.records().forEach(directory::applyRecord);
        if (!news.boot().equals(bootIds.put(control, news.boot())) || news.lost() != null) {
            state.setLostTargets(control, news.lost() == null ? List.of() : news.lost());
        }
        configurations.apply(news);
        if (!news.records().isEmpty() || news.lost() != null) {
            state.refreshTargets();
        }
        if (news.suspects() != null) {
            io.execute(() -> crashWatch.applyUpdate(news.suspects()));
        }
        retryBudget.recordEntryCount(news.mostEntries());
        retryBudget.recordInherited(news.inheritedRetries());
        retryBudget.recordLeases(news.retryLeases());
        permits.entryCount(news.mostEntries());
        admission.setEntryCount(news.entries());
        loadExchange.setEntryCount(news.entries());
        if (!news.members().isEmpty()) {
            disconnectUnlisted(news.members());
            connectMissing(news.members());
        }
        if (firstUpdateAt < 0) {
            firstUpdateAt = ticker.millis();
        }
    }

    /** Returns the targets that accept connections according to what they have announced and responded. */
    private List<TargetEndpoint> endpoints() {
        return state.targets().all().stream()
                .filter(t -> !availability.isBackingOff(t.instance()) && !availability.isDraining(t.instance()))
                .map(t -> new TargetEndpoint(t.instance(), t.address(), t.failureDomain()))
                .toList();
    }

    private Mono<Boolean> reachesNeighbours(InstanceId target) {
        TargetRecord record = directory.find(target);
        return targetLinks.detector().reachesOthers(target, record == null ? null : record.failureDomain());
    }

    private Mono<Boolean> probe(InstanceId target) {
        TargetRecord record = directory.find(target);
        return record == null || gateway == null ? Mono.just(false) : gateway.probe(record, PROBE_TIMEOUT);
    }

    /**
     * Returns the I/O threads that serve clients and targets.
     *
     * @return the I/O threads
     */
    public LoopResources loops() {
        return loops;
    }

    /**
     * Returns the listen address.
     *
     * @return the address
     */
    public NetAddress address() {
        return settings.listen();
    }
}
