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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.program.ProgramException;
import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.hallwall.serving.config.RequestKind;
import org.hallwall.serving.config.Route;
import org.hallwall.serving.config.TargetService;
import org.hallwall.serving.config.WorkspaceKeys;
import org.hallwall.serving.crash.CrashWatch;
import org.hallwall.serving.crash.RequestDigester;
import org.hallwall.serving.crash.SuspectUpdate;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.serving.permit.PermitAllocator;
import org.hallwall.serving.permit.PermitDemand;
import org.hallwall.serving.reachability.AddressTranslator;
import org.hallwall.serving.reachability.TargetEndpoint;
import org.hallwall.serving.reachability.TargetLinks;
import org.hallwall.serving.target.FeedMessage.AvailableEntry;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.GroupLiveness;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** Runs a relay on loopback, for tests with scripted targets. */
final class RelayFixture implements Closeable {

    static final HeaderNames NAMES = new HeaderNames(
            "X-Attempt",
            "X-Deadline",
            "X-Expected",
            "X-Workspace",
            "X-Key",
            "X-Not-Run",
            "X-Model",
            "Last-Event-Id",
            "X-Leaving",
            "X-Answered-By",
            "X-Prompt-Parts",
            "X-Rate-Limit");

    private static final long CHECK_INTERVAL_MILLIS = 20;

    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
    private final EntryState state = new EntryState(directory);
    private final PermitAllocator allocator = new PermitAllocator(Ticker.SYSTEM, 0);
    private final EntryPermits permits = new EntryPermits(Ticker.SYSTEM, () -> 0);
    private final TargetAvailability availability = new TargetAvailability(Ticker.SYSTEM, permits);
    private final List<AvailableEntry> availableEntries = new CopyOnWriteArrayList<>();
    private final List<StalledHead> stalledHeads = new CopyOnWriteArrayList<>();
    private final ScriptedCrashPeers crashPeers = new ScriptedCrashPeers();
    private final AtomicLong sequence = new AtomicLong();
    private final CrashWatch crashes;
    private final RetryBudget budget;
    private final BodyMemory bodyMemory;
    private final RelayServer server;
    private volatile GroupLiveness liveness = GroupLiveness.UNKNOWN;
    private final AtomicInteger readingsLeft = new AtomicInteger();
    private volatile Throwable readingError;

    RelayFixture() throws ProgramException {
        this(100);
    }

    RelayFixture(double extraRetries) throws ProgramException {
        this(0, extraRetries);
    }

    RelayFixture(double ratio, double extraRetries) throws ProgramException {
        this(ratio, extraRetries, 400);
    }

    /** The latency objective determines the attempt timeout. */
    RelayFixture(double ratio, double extraRetries, long objectiveMillis) throws ProgramException {
        this(ratio, extraRetries, objectiveMillis, BodyMemory.ofProcess(), 10_000);
    }

    /** Limits the bodies of requests, together and each. */
    RelayFixture(double ratio, double extraRetries, long objectiveMillis, BodyMemory memory, int maxBodyBytes)
            throws ProgramException {
        this.bodyMemory = memory;
        budget = RetryBudgetFixture.createCounted(ratio, extraRetries, 1, Ticker.SYSTEM);
        FleetLoad fleet = new FleetLoad(Ticker.SYSTEM);
        Balancer balancer = new Balancer("a", fleet, Mechanisms.ALL, Math::random, Ticker.SYSTEM);
        EventLoop io = loops.onServer(LoopResources.DEFAULT_NATIVE).next();
        permits.entryCount(1);
        permits.onDue(() -> io.execute(this::askForPermits));
        crashes = new CrashWatch(crashPeers, io, Ticker.SYSTEM);
        io.scheduleAtFixedRate(crashes::tick, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        crashes.applyUpdate(new SuspectUpdate(new byte[RequestDigester.KEY_BYTES], 1, true, List.of(), List.of()));
        TargetLinks links = TargetLinks.create(loops, AddressTranslator.IDENTITY, this::endpoints, io, Ticker.SYSTEM);
        server = new RelayServer(
                new RelayContext(
                        state,
                        new CandidateTargets(state, availability, permits, () -> 0),
                        balancer,
                        new TargetClient(loops, NAMES, availability, links, Ticker.SYSTEM),
                        budget,
                        new ForwardedHeaders(NAMES),
                        NAMES,
                        new StalledHeads(this::queryHead, () -> true, Ticker.SYSTEM),
                        new AdmissionControl(balancer, fleet, Mechanisms.ALL, Ticker.SYSTEM),
                        new StreamMonitor(),
                        new RelayMetrics(new PrometheusRegistry()),
                        crashes,
                        new EntryForwarder(
                                links,
                                () -> List.copyOf(availableEntries),
                                balancer,
                                new EntryClient(loops, NAMES, new InstanceId("entry"), state, Ticker.SYSTEM)),
                        new Shutdown(Ticker.SYSTEM),
                        this::readClock),
                bodyMemory);
        server.open(new NetAddress("127.0.0.1", 0), loops);
        server.openForwarding(new NetAddress("127.0.0.1", 0), loops);
        state.applyConfiguration(configuration(objectiveMillis, maxBodyBytes));
    }

    /** Makes one reading of the relay's clock fail, after some that succeed. */
    void failReading(int readingsBefore, Throwable error) {
        readingError = error;
        readingsLeft.set(readingsBefore);
    }

    /** Returns the retries of a service that may still arrive at targets. */
    int openRetries(String service) {
        return budget.openRetries().getOrDefault(service, 0);
    }

    /** Returns whether the failure of {@link #failReading} has happened. */
    boolean hasFailed() {
        return readingsLeft.get() < 0;
    }

    private long readClock() {
        if (readingError != null && readingsLeft.getAndDecrement() == 0) {
            RelayFixture.<RuntimeException>throwUnchecked(readingError);
        }
        return Ticker.SYSTEM.millis();
    }

    @SuppressWarnings("unchecked")
    private static <E extends Throwable> void throwUnchecked(Throwable e) throws E {
        throw (E) e;
    }

    /** Stands in for {@link PermitExchange}, without the network. */
    private void askForPermits() {
        List<PermitDemand> asks = permits.dueRequests();
        if (!asks.isEmpty()) {
            permits.applyGrants(allocator.allocate(new InstanceId("entry"), asks), Ticker.SYSTEM.millis());
        }
    }

    private static Configuration configuration(long objectiveMillis, int maxBodyBytes) {
        List<Route> routes = new ArrayList<>();
        for (RequestKind k : RequestKind.values()) {
            routes.add(new Route(
                    k.name(),
                    "127.0.0.1",
                    "/" + k.name().toLowerCase(java.util.Locale.ROOT) + "/",
                    k,
                    4_000,
                    objectiveMillis,
                    1,
                    List.of(new Route.WeightedService(k == RequestKind.STREAM ? "llm" : "app", 1)),
                    2,
                    false,
                    true,
                    400));
        }
        EngineSpec spec = new EngineSpec(4, List.of(new EngineModel("m", 1, 1, 1, 1, 1)), 1, 1, 2.5, 1);
        Map<String, TargetService> services =
                Map.of("app", new TargetService("app", 9, null), "llm", new TargetService("llm", 9, spec));
        return new Configuration(
                1,
                routes,
                services,
                List.of(
                        new WorkspaceKeys("w", List.of("secret"), null),
                        new WorkspaceKeys("v", List.of("other"), null)),
                new CallerLimits(2_000, maxBodyBytes, 1_000, 1_000));
    }

    /** Adds a plain target, or the head of a group with one member. */
    void add(String service, String id, int port) {
        boolean head = service.equals("llm");
        GroupMembership membership = head ? new GroupMembership("g-" + id, 1, 0, GroupState.OPEN) : null;
        announce(service, id, port, membership);
    }

    void announce(String service, String id, int port, GroupMembership membership) {
        directory.applyRecord(new TargetRecord(
                new InstanceId(id),
                sequence.incrementAndGet(),
                service,
                new NetAddress("127.0.0.1", port),
                "a",
                4,
                TargetRecord.Presence.SERVING,
                membership == null ? null : "d",
                membership == null ? null : "m",
                List.of("m"),
                membership));
        state.refreshTargets();
    }

    /** Announces that a target is gone. */
    void remove(String id) {
        directory.applyRecord(
                directory.find(new InstanceId(id)).with(sequence.incrementAndGet(), TargetRecord.Presence.GONE));
        state.refreshTargets();
    }

    private List<TargetEndpoint> endpoints() {
        return state.targets().all().stream()
                .map(t -> new TargetEndpoint(t.instance(), t.address(), t.failureDomain()))
                .toList();
    }

    /** Makes another entry available for requests that this one cannot send. */
    void addEntry(String id, RelayFixture entry) {
        addEntry(id, entry.server.forwardingPort());
    }

    /** Makes another entry available that listens at a port. */
    void addEntry(String id, int port) {
        availableEntries.add(new AvailableEntry(new InstanceId(id), "a", new NetAddress("127.0.0.1", port)));
    }

    /** Activates a configuration with a higher version and the same content. */
    void updateConfiguration(long version) {
        Configuration c = state.routes().configuration();
        state.applyConfiguration(new Configuration(version, c.routes(), c.services(), c.workspaces(), c.limits()));
    }

    /** Returns the scripted peers of the crash watch. */
    ScriptedCrashPeers crashPeers() {
        return crashPeers;
    }

    /** Sets the liveness that the controller reports for all groups. */
    void setLiveness(GroupLiveness reported) {
        liveness = reported;
    }

    private Mono<GroupLiveness> queryHead(StalledHead head) {
        stalledHeads.add(head);
        return Mono.just(liveness);
    }

    int port() {
        return server.port();
    }

    List<StalledHead> stalledHeads() {
        return stalledHeads;
    }

    RelayServer server() {
        return server;
    }

    int inFlight() {
        return server.inFlight();
    }

    @Override
    public void close() {
        server.close();
        loops.dispose();
    }
}
