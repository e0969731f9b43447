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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.program.ProgramException;
import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.ConfigurationReader;
import org.hallwall.serving.control.ControlNode;
import org.hallwall.serving.control.PackedBytes;
import org.hallwall.serving.crash.CrashWatch;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.serving.target.FeedFollower;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.FeedMessage.HeadFinding;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** An entry: it follows all control instances and relays callers' requests. */
public final class EntryNode implements Closeable {

    private static final Logger LOG = Logger.getLogger(EntryNode.class);
    private static final int RING = 1_024;
    private static final long TICK_MILLIS = 1_000;
    /** Links to control instances at most: one to each voter that there can be. */
    private static final int MOST_LINKS = 9;
    /** How long the group controller may take to answer about a head: its probes and the way there and back. */
    private static final Duration FINDING_TIMEOUT = Duration.ofMillis(400);
    /** How long a target may take to answer this entry; several times a round trip and the time of its answer. */
    private static final Duration REACH_TIMEOUT = Duration.ofMillis(150);
    /** The pause between polls of the requests in progress while stopping, in milliseconds. */
    private static final long STOP_POLL_MILLIS = 50;
    /** The pause between looks for targets that have ended, and between reports of them that were not taken, in milliseconds. */
    private static final long LOOK_MILLIS = 200;

    private final EntryNodeSettings settings;
    private final ConfigurationReader reader;
    private final Ticker ticker = Ticker.SYSTEM;
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final EntryState state = new EntryState(directory);
    private final EntryPermits permits =
            new EntryPermits(ticker, () -> ThreadLocalRandom.current().nextDouble());
    private final TargetAvailability availability = new TargetAvailability(ticker, permits);
    private final PeerCodec codec = new PeerCodec(ControlNode.kinds());
    private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<InstanceId, FeedFollower> followers = new HashMap<>();
    private final LoopResources loops = LoopResources.create("io", 1, true);
    private final Admission admission;
    private final LoadExchange exchange;
    private final PermitExchange permitExchange;
    private final RetryBudget budget;
    private final CrashWatch crashes;
    private final EventLoop io;
    private final RelayServer server;
    private final DutyThread duty;
    private final Map<String, String> boots = new HashMap<>();
    private final AtomicLong received = new AtomicLong();
    private ScheduledFuture<?> looking;
    private volatile TargetGateway gateway;
    private volatile long heardSince = -1;
    private volatile boolean hadTargets;
    private volatile boolean stopping;

    /**
     * Creates an entry; {@link #start(TargetGateway)} starts it.
     *
     * @param settings what it knows at its start
     * @param names the names of headers
     * @param reader reads configurations
     * @param registry where counters are registered
     */
    public EntryNode(
            EntryNodeSettings settings, HeaderNames names, ConfigurationReader reader, PrometheusRegistry registry) {
        this.settings = settings;
        this.reader = reader;
        this.budget = new RetryBudget(
                settings.repeatRatio(),
                settings.repeatExtra(),
                settings.repeatWindowMillis(),
                settings.firstStart(),
                ticker);
        FleetLoad fleet = new FleetLoad(ticker);
        Balancer balancer = new Balancer(settings.failureDomain(), fleet, settings.mechanisms(), ticker);
        this.admission = new Admission(balancer, fleet, settings.mechanisms(), ticker);
        this.io = loops.onServer(LoopResources.DEFAULT_NATIVE).next();
        this.exchange = new LoadExchange(io, balancer, fleet, permits, links::values);
        this.permitExchange = new PermitExchange(io, permits, exchange::controllers, ticker);
        TargetClient client = new TargetClient(loops, names, availability, ticker);
        this.crashes = new CrashWatch(
                new CrashExchange(exchange::controllers, directory, this::reaches, client::refuses), io, ticker);
        RelayContext context = new RelayContext(
                state,
                new Candidates(
                        state,
                        availability,
                        permits,
                        () -> ThreadLocalRandom.current().nextDouble()),
                balancer,
                client,
                budget,
                new ForwardedHeaders(names),
                names,
                new StalledHeads(this::ask, fleet::isInTouch, ticker),
                admission,
                new StreamWatch(),
                new RelayCounts(registry),
                crashes,
                ticker);
        this.server = new RelayServer(context);
        this.duty = new DutyThread("feeds", RING, TICK_MILLIS, () -> {});
    }

    /**
     * Starts.
     *
     * @param targets asks targets that the group controller does not reach
     * @throws IOException if the port cannot be opened
     */
    public void start(TargetGateway targets) throws IOException {
        gateway = targets;
        try {
            server.open(settings.listen(), loops);
        } catch (ProgramException e) {
            throw new IOException(e.getMessage(), e);
        }
        duty.start();
        exchange.start();
        permits.onDue(permitExchange::wake);
        looking = io.scheduleAtFixedRate(crashes::tick, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
        connect(settings.seeds());
        LOG.infof("entry: %s takes callers on port %d", settings.instance(), server.port());
    }

    /**
     * Connects to control instances that are not known yet.
     *
     * @param members the control instances
     */
    public void connect(List<ControlMember> members) {
        duty.offer(() -> connectNow(members));
    }

    /**
     * Says whether the entry wants callers: it has a configuration, has heard the targets, knows which requests are held back, and does
     * not stop.
     *
     * @return true if it does
     */
    public boolean isReady() {
        return !stopping
                && state.routes().configuration().version() > 0
                && heardSince >= 0
                && crashes.isReady()
                && hadTargets();
    }

    /** Once it has known targets an entry stays ready: losing them is told to callers, not to the balancer. */
    private boolean hadTargets() {
        hadTargets |= state.targets().size() > 0;
        return hadTargets;
    }

    /**
     * Gives what the entry believes.
     *
     * @return the state
     */
    public EntryState state() {
        return state;
    }

    /**
     * Gives what holds requests back that end targets.
     *
     * @return the watch
     */
    public CrashWatch crashes() {
        return crashes;
    }

    /**
     * Gives what is known of targets that are not available.
     *
     * @return the one place that knows
     */
    public TargetAvailability availability() {
        return availability;
    }

    /**
     * Gives the permits for targets with a rate limit.
     *
     * @return this entry's permits
     */
    public EntryPermits permits() {
        return permits;
    }

    /**
     * Gives the relay.
     *
     * @return the relay
     */
    public RelayServer server() {
        return server;
    }

    /** Stops being ready, finishes the requests in progress, then ends. */
    @Override
    public void close() {
        LOG.infof("entry: %s stops, %d requests are in progress", settings.instance(), server.inFlight());
        stopping = true;
        server.beginStop();
        long now = ticker.millis();
        long earliest = now + settings.noticeMillis();
        long latest = now + settings.stopMillis();
        while (ticker.millis() < earliest) {
            pause();
        }
        server.stopTaking();
        while (ticker.millis() < latest && server.inFlight() > 0) {
            pause();
        }
        LOG.infof("entry: %s ends, %d requests are cut off", settings.instance(), server.inFlight());
        followers.values().forEach(FeedFollower::close);
        exchange.close();
        permitExchange.close();
        looking.cancel(false);
        duty.close();
        links.values().forEach(PeerLink::close);
        server.close();
    }

    private static void pause() {
        try {
            Thread.sleep(STOP_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Drops control instances that are no longer named and cannot be reached. */
    private void disconnectFrom(List<ControlMember> members) {
        List<InstanceId> named = members.stream().map(ControlMember::instance).toList();
        for (InstanceId id : List.copyOf(links.keySet())) {
            if (!named.contains(id) && !followers.get(id).isInTouch()) {
                LOG.infof("entry: control instance %s is no longer named", id);
                followers.remove(id).close();
                links.remove(id).close();
                state.takeLost(id.value(), List.of());
            }
        }
    }

    private void connectNow(List<ControlMember> members) {
        List<ControlMember> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(ControlMember::instance));
        for (ControlMember m : sorted) {
            if (!links.containsKey(m.instance()) && links.size() < MOST_LINKS) {
                PeerLink link = new PeerLink(m.peer(), settings.fleet(), settings.instance(), codec);
                links.put(m.instance(), link);
                FeedFollower f = new FeedFollower(
                        m.instance().value(),
                        link,
                        false,
                        this::receivedVersion,
                        crashes::version,
                        admission::streams,
                        onDuty(news -> take(m.instance().value(), news)));
                followers.put(m.instance(), f);
                f.start();
            }
        }
    }

    /** The version that was received, whether or not it was read yet: it need not be sent again. */
    private long receivedVersion() {
        return Math.max(received.get(), version());
    }

    private long version() {
        return state.routes().configuration().version();
    }

    /** Hands news to the duty thread; a full ring is an error, so that the follower asks again. */
    private Consumer<FeedMessage.News> onDuty(Consumer<FeedMessage.News> consumer) {
        return news -> {
            received.accumulateAndGet(news.configurationVersion(), Math::max);
            if (!duty.offer(() -> consumer.accept(news))) {
                throw new IllegalStateException("the ring is full");
            }
        };
    }

    private void take(String control, FeedMessage.News news) {
        news.records().forEach(directory::take);
        if (!news.boot().equals(boots.put(control, news.boot())) || news.lost() != null) {
            state.takeLost(control, news.lost() == null ? List.of() : news.lost());
        }
        if (news.configuration() != null) {
            configure(news);
        }
        if (!news.records().isEmpty() || news.lost() != null) {
            state.judge();
        }
        if (news.suspects() != null) {
            io.execute(() -> crashes.take(news.suspects()));
        }
        budget.entries(news.mostEntries());
        permits.entries(news.mostEntries());
        admission.entries(news.entries());
        exchange.entries(news.entries());
        if (!news.members().isEmpty()) {
            disconnectFrom(news.members());
            connectNow(news.members());
        }
        if (heardSince < 0) {
            heardSince = ticker.millis();
        }
    }

    private void configure(FeedMessage.News news) {
        if (news.configurationVersion() <= version()) {
            return;
        }
        try {
            state.take(reader.read(PackedBytes.unpack(news.configuration())));
        } catch (IOException | ConfigurationException e) {
            LOG.errorf(e, "configuration: version %d cannot be read here", news.configurationVersion());
        }
    }

    /** Asks about a head; the control instance that controls the groups knows. */
    private Mono<GroupLiveness> ask(StalledHead head) {
        return Flux.fromIterable(exchange.controllers())
                .flatMap(l -> finding(l, head)
                        .flatMap(f -> f.liveness() == GroupLiveness.SUSPECTED ? secondOpinion(l, f) : Mono.just(f)))
                .map(HeadFinding::liveness)
                .filter(found -> found != GroupLiveness.UNKNOWN)
                .next()
                .defaultIfEmpty(GroupLiveness.UNKNOWN);
    }

    private static Mono<HeadFinding> finding(PeerLink link, FeedMessage question) {
        return link.call(question, FINDING_TIMEOUT).ofType(HeadFinding.class).onErrorResume(PeerException.class, e -> {
            LOG.debugf("entry: no answer to %s, %s", question, e.getMessage());
            return Mono.empty();
        });
    }

    /** Asks the members that did not answer the controller, but for those that are not available, tells it, and goes by its own finding if it does not answer. */
    private Mono<HeadFinding> secondOpinion(PeerLink link, HeadFinding suspected) {
        List<InstanceId> asked =
                suspected.suspects().stream().filter(availability::mayProbe).toList();
        if (asked.isEmpty()) {
            return Mono.just(new HeadFinding(suspected.group(), GroupLiveness.UNKNOWN, List.of()));
        }
        return Flux.fromIterable(asked)
                .filterWhen(id -> reaches(id).defaultIfEmpty(true))
                .collectList()
                .flatMap(reached -> {
                    List<InstanceId> silent = new ArrayList<>(asked);
                    silent.removeAll(reached);
                    GroupLiveness own = silent.isEmpty() ? GroupLiveness.WORKING : GroupLiveness.LOST;
                    return finding(link, new FeedMessage.SuspectFinding(suspected.group(), reached, silent))
                            .defaultIfEmpty(new HeadFinding(suspected.group(), own, List.of()));
                });
    }

    private Mono<Boolean> reaches(InstanceId target) {
        TargetRecord record = directory.find(target);
        return record == null || gateway == null ? Mono.just(false) : gateway.answers(record, REACH_TIMEOUT);
    }

    /**
     * Gives the I/O threads.
     *
     * @return the threads that callers and targets are served on
     */
    public LoopResources loops() {
        return loops;
    }

    /**
     * Where callers connect.
     *
     * @return the address
     */
    public NetAddress address() {
        return settings.listen();
    }
}
