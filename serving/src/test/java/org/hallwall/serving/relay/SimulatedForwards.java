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

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.RequestKind;
import org.hallwall.serving.config.Route;
import org.hallwall.serving.config.TargetService;
import org.hallwall.serving.crash.CrashWatch;
import org.hallwall.serving.crash.ResponseProgress;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.serving.reachability.AddressTranslator;
import org.hallwall.serving.reachability.ConnectResult;
import org.hallwall.serving.reachability.PartitionDetector;
import org.hallwall.serving.reachability.TargetEndpoint;
import org.hallwall.serving.reachability.TargetLinks;
import org.hallwall.serving.reachability.TargetReachability;
import org.hallwall.serving.target.FeedMessage.AvailableEntry;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import reactor.core.publisher.Mono;

/**
 * Entries that forward requests while runs fail and links are lost, on a virtual clock. Attempts, forwarding, detection of partitions and
 * the retry budget are the real ones; connections, messages and targets are simulated. Cancellations never arrive.
 */
final class SimulatedForwards {

    static final long CUT_AT_MILLIS = 2_000;
    static final long HEAL_AT_MILLIS = 12_000;
    static final long END_MILLIS = 15_000;
    static final double RETRY_RATIO = 0.2;
    static final double RETRY_EXTRA = 134;
    private static final long WINDOW_MILLIS = 10_000;
    private static final long STEP_MILLIS = 5;
    private static final long CONNECT_TIMEOUT_MILLIS = 350;
    private static final long ENTRY_CONNECT_TIMEOUT_MILLIS = 250;
    private static final long HOP_TIMEOUT_MILLIS = 160;
    private static final long MESSAGE_MILLIS = 5;
    private static final long RESPONSE_MILLIS = 20;
    private static final int TARGETS = 30;
    private static final int DOMAINS = 3;
    private static final int HELPERS = 8;
    private static final double REQUESTS_PER_STEP = 0.05;
    private static final double LOST_RESPONSES = 0.02;
    private static final double REJECTIONS = 0.02;
    private static final String SERVICE = "app";

    private static final List<Route> ROUTES = List.of(
            route("twice", RequestKind.IDEMPOTENT, 2),
            route("thrice", RequestKind.IDEMPOTENT, 3),
            route("once", RequestKind.NON_IDEMPOTENT, 1));

    /** How many of the remaining runs of a request an entry lends to the entry that it forwards to. */
    enum Lending {
        /** One; without a report, it counts as made. */
        ONE_RUN,
        /** All; those that are not reported count as made. */
        ALL_RUNS,
        /** All, without a report; one counts as made for each entry. */
        UNREPORTED
    }

    /** A finished request. */
    record Result(int entry, long arrivedAt, boolean served, int runs, int allowedRuns, boolean repeatable) {}

    /** The failures of a simulation. */
    record Faults(double cutShare, double errorRate, double lostEntryLinks, boolean refused) {}

    private final Random random;
    private final Faults faults;
    private final Lending lending;
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final TargetDirectory directory = new TargetDirectory(this::now);
    private final EntryState state = new EntryState(directory);
    private final RelayMetrics metrics = new RelayMetrics(new PrometheusRegistry());
    private final List<TargetEndpoint> endpoints = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Result> results = new ArrayList<>();
    private final TreeMap<Long, Integer> requestCounts = new TreeMap<>();
    private final TreeMap<Long, Integer> retryCounts = new TreeMap<>();
    private long now;
    private int pending;

    SimulatedForwards(long seed, int entryCount, Faults faults, Lending lending) {
        this.random = new Random(seed);
        this.faults = faults;
        this.lending = lending;
        channel.freezeTime();
        for (int i = 0; i < TARGETS; i++) {
            NetAddress address = new NetAddress("10.0.0." + i, 1);
            InstanceId id = new InstanceId("t-" + i);
            String domain = "d" + i % DOMAINS;
            directory.applyRecord(new TargetRecord(
                    id, 1, SERVICE, address, domain, 9, TargetRecord.Presence.SERVING, null, null, List.of(), null));
            endpoints.add(new TargetEndpoint(id, address, domain));
        }
        state.applyConfiguration(new Configuration(
                1,
                ROUTES,
                Map.of(SERVICE, new TargetService(SERVICE, 9, null)),
                List.of(),
                new CallerLimits(2_000, 10_000, 1_000, 1_000)));
        int cut = (int) Math.min(entryCount - 1L, Math.max(1, Math.round(entryCount * faults.cutShare())));
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(i, i < cut, entryCount));
        }
    }

    private static Route route(String name, RequestKind kind, int attempts) {
        return new Route(
                name,
                "h",
                "/",
                kind,
                4_000,
                100,
                1,
                List.of(new Route.WeightedService(SERVICE, 1)),
                attempts,
                true,
                false,
                0);
    }

    private long now() {
        return now;
    }

    SimulatedForwards run() {
        while (now < END_MILLIS || pending > 0) {
            now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            if (now < END_MILLIS) {
                entries.stream()
                        .filter(e -> random.nextDouble() < REQUESTS_PER_STEP)
                        .forEach(this::receive);
            }
        }
        return this;
    }

    List<Result> results() {
        return results;
    }

    boolean isCut(int entry) {
        return !entries.get(entry).lostTargets.isEmpty();
    }

    /** Returns the share of the requests that were served during the cut, at entries that were cut or at the others. */
    double servedShare(boolean atCutEntries) {
        List<Result> counted = resultsDuringCut(atCutEntries);
        return counted.stream().filter(Result::served).count() / (double) Math.max(1, counted.size());
    }

    /** Returns the requests that arrived during the cut, at entries that were cut or at the others. */
    List<Result> resultsDuringCut(boolean atCutEntries) {
        return results.stream()
                .filter(r -> isCut(r.entry()) == atCutEntries)
                .filter(r -> r.arrivedAt() >= CUT_AT_MILLIS + 1_000 && r.arrivedAt() < HEAL_AT_MILLIS)
                .toList();
    }

    /** Returns the highest ratio of runs to runs allowed by the route. */
    double mostRuns() {
        return results.stream()
                .mapToDouble(r -> r.runs() / (double) r.allowedRuns())
                .max()
                .orElse(0);
    }

    /** Returns the highest ratio of arrivals beyond the first to those allowed over all windows. */
    double worstRetryWindow() {
        double worst = 0;
        for (long from : retryCounts.keySet()) {
            long requests = Math.max(
                    sum(requestCounts, from, from + WINDOW_MILLIS),
                    Math.max(
                            sum(requestCounts, from - WINDOW_MILLIS, from),
                            sum(requestCounts, from - WINDOW_MILLIS / 2, from + WINDOW_MILLIS / 2)));
            worst = Math.max(
                    worst, sum(retryCounts, from, from + WINDOW_MILLIS) / (RETRY_RATIO * requests + RETRY_EXTRA));
        }
        return worst;
    }

    /** Returns the retries of finished requests that still count as open. */
    int openRetries() {
        return entries.stream()
                .mapToInt(e -> e.budget.openRetries().getOrDefault(SERVICE, 0))
                .sum();
    }

    private static long sum(TreeMap<Long, Integer> counts, long from, long to) {
        return counts.subMap(from, true, to, true).values().stream()
                .mapToLong(Integer::longValue)
                .sum();
    }

    String describe() {
        return String.format(
                Locale.ROOT,
                "%d entries, %s, lending %s: most runs %.2f of allowed, served %.3f at cut entries, %.3f at others, retries %.2f of allowed",
                entries.size(),
                faults,
                lending,
                mostRuns(),
                servedShare(true),
                servedShare(false),
                worstRetryWindow());
    }

    private void receive(Entry e) {
        requestCounts.merge(now, 1, Integer::sum);
        double kind = random.nextDouble();
        Route route = ROUTES.get(kind < 0.6 ? 0 : kind < 0.9 ? 1 : 2);
        long arrivedAt = now;
        RequestRuns runs = new RequestRuns();
        pending++;
        e.budget.recordRequest(SERVICE);
        new Worker(e, e.context, request(route, null), runs, (w, served) -> {
                    pending--;
                    results.add(new Result(
                            e.index, arrivedAt, served, runs.targets.size(), route.maxAttempts(), route.isRetryable()));
                })
                .next();
    }

    private RelayRequest request(Route route, ForwardHeaders.Forwarded forward) {
        return new RelayRequest(
                "a",
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders(),
                new byte[0],
                route,
                SERVICE,
                null,
                1,
                false,
                null,
                now,
                now + route.timeoutMillis(),
                forward);
    }

    /** The targets that have run a request, and its arrivals, over all entries. */
    private final class RequestRuns {

        private final Set<InstanceId> targets = new HashSet<>();
        private int arrivals;

        void recordArrival() {
            if (arrivals++ > 0) {
                retryCounts.merge(now, 1, Integer::sum);
            }
        }
    }

    private void later(long millis, Runnable task) {
        channel.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private boolean isDuringCut() {
        return now >= CUT_AT_MILLIS && now < HEAL_AT_MILLIS;
    }

    private final class Entry {

        private final int index;
        private final Set<InstanceId> lostTargets = new HashSet<>();
        private final Set<Integer> lostEntries = new HashSet<>();
        private final TargetReachability reachability = new TargetReachability(SimulatedForwards.this::now);
        private final PartitionDetector detector;
        private final RetryBudget budget;
        private final RelayContext context;
        /** For requests of which all runs are lent; does not forward them again. */
        private final RelayContext helperContext;

        Entry(int index, boolean cut, int entryCount) {
            this.index = index;
            if (cut) {
                double share = random.nextBoolean() ? 1 : 0.5 + random.nextDouble() / 2;
                endpoints.stream().filter(t -> random.nextDouble() < share).forEach(t -> lostTargets.add(t.instance()));
            }
            for (int i = 0; i < entryCount; i++) {
                if (random.nextDouble() < faults.lostEntryLinks()) {
                    lostEntries.add(i);
                }
            }
            detector = new PartitionDetector(
                    () -> endpoints,
                    this::connect,
                    reachability,
                    channel.eventLoop(),
                    random,
                    SimulatedForwards.this::now);
            detector.setListener(() -> {});
            budget =
                    RetryBudgetFixture.createCounted(RETRY_RATIO, RETRY_EXTRA, entryCount, SimulatedForwards.this::now);
            context = context(true);
            helperContext = context(false);
        }

        private RelayContext context(boolean forwards) {
            EntryPermits permits = new EntryPermits(SimulatedForwards.this::now, random::nextDouble);
            TargetAvailability availability = new TargetAvailability(SimulatedForwards.this::now, permits);
            return new RelayContext(
                    state,
                    new CandidateTargets(state, availability, permits, random::nextDouble),
                    balancer(),
                    null,
                    budget,
                    null,
                    RelayFixture.NAMES,
                    null,
                    null,
                    null,
                    metrics,
                    new CrashWatch(new ScriptedCrashPeers(), channel.eventLoop(), SimulatedForwards.this::now),
                    new EntryForwarder(
                            new TargetLinks(AddressTranslator.IDENTITY, reachability, null, detector),
                            forwards ? this::helpers : List::of,
                            balancer(),
                            null),
                    new Shutdown(SimulatedForwards.this::now),
                    SimulatedForwards.this::now);
        }

        private Balancer balancer() {
            return new Balancer(
                    "d" + index % DOMAINS,
                    new FleetLoad(SimulatedForwards.this::now),
                    Mechanisms.ALL,
                    random::nextDouble,
                    SimulatedForwards.this::now);
        }

        /** Entries that are not partitioned, in the order of their distance from this one. */
        private List<AvailableEntry> helpers() {
            List<AvailableEntry> out = new ArrayList<>();
            for (int i = 1; i < entries.size() && out.size() < HELPERS; i++) {
                Entry e = entries.get((index + i) % entries.size());
                if (!e.detector.isPartitioned()) {
                    out.add(new AvailableEntry(
                            new InstanceId("e-" + e.index), "d" + e.index % DOMAINS, new NetAddress("10.1.0.1", 1)));
                }
            }
            return out;
        }

        private boolean reaches(InstanceId target) {
            return !isDuringCut() || !lostTargets.contains(target);
        }

        private Mono<ConnectResult> connect(NetAddress address, Duration timeout) {
            int index = Integer.parseInt(address.host().substring("10.0.0.".length()));
            if (reaches(endpoints.get(index).instance())) {
                return Mono.just(ConnectResult.CONNECTED);
            }
            return faults.refused()
                    ? Mono.just(ConnectResult.REFUSED)
                    : Mono.create(sink -> later(timeout.toMillis(), () -> sink.success(ConnectResult.NO_RESPONSE)));
        }
    }

    /** A request at one entry, with the real decisions about its attempts. */
    private final class Worker {

        private final Entry entry;
        private final RelayRequest request;
        private final RequestRuns runs;
        private final BiConsumer<Worker, Boolean> onEnd;
        private final Attempts attempts;

        Worker(
                Entry entry,
                RelayContext context,
                RelayRequest request,
                RequestRuns runs,
                BiConsumer<Worker, Boolean> onEnd) {
            this.entry = entry;
            this.request = request;
            this.runs = runs;
            this.onEnd = onEnd;
            this.attempts = new Attempts(context, request);
        }

        void next() {
            NextHop hop = attempts.nextHop();
            if (hop == null) {
                finish(false);
                return;
            }
            hop.state().requestStarted();
            if (hop instanceof EntryHop other) {
                forward(other);
            } else {
                send(hop);
            }
        }

        private void failed(NextHop hop, AttemptFailure f) {
            hop.state().requestEnded();
            if (attempts.recordFailure(hop, f, ResponseProgress.NONE, 0).isRetry()) {
                next();
            } else {
                finish(false);
            }
        }

        private void succeeded(NextHop hop) {
            hop.state().requestEnded();
            hop.state().recordSuccess();
            attempts.recordResponse(hop);
            finish(true);
        }

        private void finish(boolean served) {
            attempts.finish();
            onEnd.accept(this, served);
        }

        private void send(NextHop hop) {
            InstanceId target = hop.target().instance();
            long sentAt = now;
            if (!entry.reaches(target)) {
                entry.detector.suspectUnlessConnected();
                later(faults.refused() ? 1 : CONNECT_TIMEOUT_MILLIS, () -> {
                    entry.reachability.recordConnectFailure(target, "simulated");
                    entry.detector.suspect();
                    failed(hop, AttemptFailure.notSent("no connection"));
                });
                return;
            }
            runs.recordArrival();
            double outcome = random.nextDouble();
            if (outcome >= REJECTIONS) {
                runs.targets.add(target);
            }
            later(RESPONSE_MILLIS, () -> {
                entry.reachability.recordContact(target, sentAt);
                entry.detector.recordReceived();
                if (outcome < REJECTIONS) {
                    failed(hop, new AttemptFailure(Verdict.NOT_RUN, "rejected"));
                } else if (outcome < REJECTIONS + LOST_RESPONSES) {
                    failed(hop, AttemptFailure.connectionLost("reset"));
                } else if (random.nextDouble() < faults.errorRate()) {
                    failed(hop, new AttemptFailure(Verdict.RAN, "status 500"));
                } else {
                    succeeded(hop);
                }
            });
        }

        private void forward(EntryHop hop) {
            Entry helper =
                    entries.get(Integer.parseInt(hop.target().instance().value().substring("e-".length())));
            boolean linkLost = isDuringCut() && entry.lostEntries.contains(helper.index);
            if (linkLost && random.nextBoolean()) {
                later(ENTRY_CONNECT_TIMEOUT_MILLIS, () -> failed(hop, AttemptFailure.notSent("no connection")));
                return;
            }
            boolean[] ended = new boolean[1];
            if (attempts.mayRetry()) {
                later(HOP_TIMEOUT_MILLIS, () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        hop.recordReport(lending == Lending.ALL_RUNS ? allSpent() : null);
                        failed(hop, AttemptFailure.abandoned("no response"));
                    }
                });
            } else if (linkLost) {
                later(request.deadlineAt() - now, () -> failed(hop, AttemptFailure.abandoned("no response")));
            }
            RequestHistory before = attempts.history();
            later(
                    MESSAGE_MILLIS,
                    () -> work(
                            helper,
                            before,
                            (w, served) -> later(MESSAGE_MILLIS, () -> {
                                if (!linkLost && !ended[0]) {
                                    ended[0] = true;
                                    respond(hop, before, w, served);
                                }
                            })));
        }

        private RequestHistory allSpent() {
            RequestHistory out = attempts.history();
            while (out.runs() < request.route().maxAttempts()) {
                out = out.withUnknownRun();
            }
            return out;
        }

        private void work(Entry helper, RequestHistory before, BiConsumer<Worker, Boolean> onResponse) {
            Route route = request.route();
            if (lending == Lending.ONE_RUN) {
                RelayRequest forwarded = request(
                        route,
                        new ForwardHeaders.Forwarded(new InstanceId("e-" + entry.index), SERVICE, 1, false, before, 1));
                new Worker(helper, helper.context, forwarded, runs, onResponse).next();
            } else {
                Route rest = route("rest", route.kind(), route.maxAttempts() - before.runs());
                new Worker(helper, helper.helperContext, request(rest, null), runs, onResponse).next();
            }
        }

        private void respond(EntryHop hop, RequestHistory before, Worker w, boolean served) {
            if (served) {
                succeeded(hop);
                return;
            }
            RequestHistory after = w.attempts.history();
            if (lending == Lending.ALL_RUNS) {
                List<RequestHistory.Contact> contacts = new ArrayList<>(before.contacts());
                contacts.addAll(after.contacts());
                after = new RequestHistory(contacts, before.unknownRuns() + after.unknownRuns());
            }
            hop.recordReport(lending == Lending.UNREPORTED ? null : after);
            failed(hop, AttemptFailure.refusedByEntry(w.attempts.verdict(), "refused", 0));
        }
    }
}
