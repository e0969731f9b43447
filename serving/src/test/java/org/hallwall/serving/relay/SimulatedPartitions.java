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
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.control.EntryDirectory;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.reachability.AddressTranslator;
import org.hallwall.serving.reachability.ConnectResult;
import org.hallwall.serving.reachability.PartitionDetector;
import org.hallwall.serving.reachability.TargetEndpoint;
import org.hallwall.serving.reachability.TargetLinks;
import org.hallwall.serving.reachability.TargetReachability;
import org.hallwall.serving.target.FeedMessage.AvailableEntry;
import org.hallwall.serving.target.FeedMessage.EntryStatus;
import reactor.core.publisher.Mono;

/**
 * Entries that lose links to targets, on a virtual clock: the detector, the forwarder, the balancer and the directory of entries are
 * the real ones, connections and messages are simulated.
 */
final class SimulatedPartitions {

    static final long CUT_AT_MILLIS = 3_000;
    static final long HEAL_AT_MILLIS = 10_000;
    static final long END_MILLIS = 14_000;
    private static final long STEP_MILLIS = 5;
    private static final long CONNECT_TIMEOUT_MILLIS = 350;
    private static final long REPORT_MILLIS = 2_000;
    private static final long PARTITION_REPORT_MILLIS = 200;
    private static final long MESSAGE_MILLIS = 5;
    private static final long RESPONSE_MILLIS = 20;
    private static final int MAX_REJECTIONS = 3;
    private static final int TARGETS = 15;
    private static final int DOMAINS = 3;
    private static final double REQUESTS_PER_STEP = 0.05;

    /** What is lost between entries and targets, by the index of the entry and of the target. */
    enum Loss {
        ALL_TARGETS((e, t) -> true),
        ONE_DOMAIN((e, t) -> t % DOMAINS == 0),
        ONE_TARGET((e, t) -> t == 0),
        HALF_AT_RANDOM((e, t) -> (e * 31 + t * 17) % 2 == 0);

        private final BiPredicate<Integer, Integer> lost;

        Loss(BiPredicate<Integer, Integer> lost) {
            this.lost = lost;
        }
    }

    /** A finished request. */
    record Result(int entry, long arrivedAt, long millis, boolean served) {}

    private final Random random;
    private final Loss loss;
    private final boolean refused;
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<ServingTarget> targets = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Set<Integer> cutEntries = new HashSet<>();
    private final List<Result> results = new ArrayList<>();
    private final EntryDirectory directory;
    private long now;
    private int pending;

    /** Creates a system; a share of the entries loses its links, and connections are refused or hang. */
    SimulatedPartitions(long seed, int entryCount, double cutShare, Loss loss, boolean refused) {
        this.random = new Random(seed);
        this.loss = loss;
        this.refused = refused;
        this.directory = new EntryDirectory(random, () -> now);
        channel.freezeTime();
        for (int i = 0; i < TARGETS; i++) {
            targets.add(new ServingTarget(
                    new InstanceId("t-" + i),
                    0,
                    new NetAddress("10.0.0." + i, 1),
                    "d" + i % DOMAINS,
                    9,
                    null,
                    null,
                    1));
        }
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(i));
            order.add(i);
        }
        Collections.shuffle(order, random);
        cutEntries.addAll(order.subList(0, (int) Math.min(entryCount - 1L, Math.round(entryCount * cutShare))));
    }

    List<Result> run() {
        entries.forEach(Entry::report);
        while (now < END_MILLIS || pending > 0) {
            now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            if (now < END_MILLIS) {
                entries.stream()
                        .filter(e -> random.nextDouble() < REQUESTS_PER_STEP)
                        .forEach(e -> new Call(e).start());
            }
        }
        return results;
    }

    boolean isCut(int entry) {
        return cutEntries.contains(entry);
    }

    /** Returns the requests that each entry has served for others. */
    List<Integer> forwardedCounts() {
        return entries.stream()
                .filter(e -> !isCut(e.index))
                .map(e -> e.forwarded)
                .toList();
    }

    long partitionedCount() {
        return entries.stream().filter(e -> e.detector.isPartitioned()).count();
    }

    private void later(long millis, Runnable task) {
        channel.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private boolean reaches(int entry, int target) {
        boolean cut = now >= CUT_AT_MILLIS && now < HEAL_AT_MILLIS && isCut(entry);
        return !cut || !loss.lost.test(entry, target);
    }

    private int index(NetAddress address) {
        return Integer.parseInt(address.host().substring("10.0.0.".length()));
    }

    private static RelayRequest request(ForwardHeaders.Forwarded forward) {
        return new RelayRequest(
                "a",
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders(),
                new byte[0],
                null,
                "s",
                null,
                1,
                false,
                null,
                0,
                END_MILLIS,
                forward);
    }

    private final class Entry {

        private final int index;
        private final InstanceId id;
        private final String domain;
        private final TargetReachability reachability = new TargetReachability(() -> now);
        private final Balancer balancer;
        private final PartitionDetector detector;
        private final EntryForwarder forwarder;
        private List<AvailableEntry> available = List.of();
        private long reports;
        private long nextReportAt;
        private int forwarded;

        Entry(int index) {
            this.index = index;
            this.id = new InstanceId("e-" + index);
            this.domain = "d" + index % DOMAINS;
            this.balancer =
                    new Balancer(domain, new FleetLoad(() -> now), Mechanisms.ALL, random::nextDouble, () -> now);
            List<TargetEndpoint> endpoints = targets.stream()
                    .map(t -> new TargetEndpoint(t.instance(), t.address(), t.failureDomain()))
                    .toList();
            this.detector = new PartitionDetector(
                    () -> endpoints, this::connect, reachability, channel.eventLoop(), random, () -> now);
            detector.setListener(this::report);
            this.forwarder = new EntryForwarder(
                    new TargetLinks(AddressTranslator.IDENTITY, reachability, null, detector),
                    () -> available,
                    new Balancer(domain, new FleetLoad(() -> now), Mechanisms.ALL, random::nextDouble, () -> now),
                    null);
        }

        private Mono<ConnectResult> connect(NetAddress address, Duration timeout) {
            if (reaches(index, index(address))) {
                return Mono.just(ConnectResult.CONNECTED);
            }
            return refused
                    ? Mono.just(ConnectResult.REFUSED)
                    : Mono.create(sink -> later(timeout.toMillis(), () -> sink.success(ConnectResult.NO_RESPONSE)));
        }

        private void report() {
            boolean partitioned = detector.isPartitioned();
            boolean wants = partitioned || available.isEmpty() || reports++ % 5 == 0;
            long interval = partitioned ? PARTITION_REPORT_MILLIS : REPORT_MILLIS;
            nextReportAt = now + interval;
            EntryStatus status = new EntryStatus(domain, new NetAddress("10.1.0.1", 1), !partitioned, 0, wants);
            later(MESSAGE_MILLIS, () -> {
                List<AvailableEntry> found = directory.update(id, status);
                if (!found.isEmpty()) {
                    available = found;
                }
            });
            later(interval, () -> {
                if (now >= nextReportAt && now < END_MILLIS) {
                    report();
                }
            });
        }
    }

    /** A request and its attempts, in the order of {@link Attempts}. */
    private final class Call {

        private final Entry first;
        private final Set<InstanceId> tried = new HashSet<>();
        private final long arrivedAt = now;
        private int unreachable;
        private int rejections;
        private int forwards;

        Call(Entry first) {
            this.first = first;
        }

        void start() {
            pending++;
            next();
        }

        private void next() {
            if (rejections > MAX_REJECTIONS) {
                finish(false);
            } else if (first.forwarder.shouldForward(request(null), targets, tried, unreachable)) {
                NextHop hop = forwards < Attempts.MAX_FORWARDS ? first.forwarder.select(tried, tried) : null;
                if (hop != null) {
                    forward(hop);
                } else if (first.detector.isPartitioned()) {
                    finish(false);
                } else {
                    attempt(first, tried, () -> {
                        unreachable++;
                        next();
                    });
                }
            } else {
                attempt(first, tried, () -> {
                    unreachable++;
                    next();
                });
            }
        }

        private void forward(NextHop hop) {
            forwards++;
            tried.add(hop.target().instance());
            hop.state().requestStarted();
            Entry helper =
                    entries.get(Integer.parseInt(hop.target().instance().value().substring("e-".length())));
            later(MESSAGE_MILLIS, () -> {
                hop.state().requestEnded();
                if (helper.detector.isPartitioned()) {
                    hop.state().recordFailure(now);
                    rejections++;
                    next();
                    return;
                }
                helper.forwarded++;
                attempt(helper, new HashSet<>(), () -> {
                    rejections++;
                    next();
                });
            });
        }

        /** Sends the request to a target, and passes control to the given task if it could not be sent. */
        private void attempt(Entry from, Set<InstanceId> triedTargets, Runnable onFailure) {
            ServingTarget t = from.balancer.choose(from.forwarder.preferReachable(targets, triedTargets), triedTargets);
            if (t == null) {
                finish(false);
                return;
            }
            triedTargets.add(t.instance());
            long sentAt = now;
            if (reaches(from.index, index(t.address()))) {
                later(RESPONSE_MILLIS, () -> {
                    from.reachability.recordContact(t.instance(), sentAt);
                    from.detector.recordReceived();
                    from.balancer.state(t).recordSuccess();
                    finish(true);
                });
                return;
            }
            from.detector.suspectUnlessConnected();
            later(refused ? 1 : CONNECT_TIMEOUT_MILLIS, () -> {
                from.reachability.recordConnectFailure(t.instance(), "simulated");
                from.balancer.state(t).recordFailure(now);
                from.detector.suspect();
                rejections++;
                onFailure.run();
            });
        }

        private void finish(boolean served) {
            pending--;
            results.add(new Result(first.index, arrivedAt, now - arrivedAt, served));
        }
    }
}
